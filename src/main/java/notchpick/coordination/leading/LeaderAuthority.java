package notchpick.coordination.leading;

import java.util.function.LongSupplier;
import notchpick.coordination.Deployment;

/**
 * What the leader may tell workers at this moment; the only place that decides it. Two ages count: that of its claim
 * to lead, and that of what it knows of users' cancellations. They are not the same, as renewals and reads may go by
 * different ways. A worker's lease must not be prolonged for longer than a cancellation that is not known yet, or
 * that can't be acted on, leaves time for: whoever confirmed it did so after the last complete read was sent.
 */
final class LeaderAuthority {
    private final LongSupplier clock;
    private final long graceMs;
    private final long keepMs;
    private final long startMs;
    private long claimUntil;
    /** When the claim last stood again after it had lapsed. */
    private long regainedAt = Long.MIN_VALUE / 2;
    /** All cancellations confirmed before are known; when a read was sent, not when its answer came. */
    private long knownAt = Long.MIN_VALUE / 2;

    private boolean loaded;

    LeaderAuthority(LongSupplier clock, Deployment deployment, double leaderLeaseS, long claimUntil) {
        this.clock = clock;
        this.graceMs = deployment.graceMs(leaderLeaseS);
        this.keepMs = deployment.knowledgeMs(leaderLeaseS);
        this.startMs = (long) (deployment.reportS() * 1000);
        this.claimUntil = claimUntil;
    }

    /** The leader's lease surely stands until then. */
    void claimRenewed(long until) {
        if (!holdsClaim()) {
            regainedAt = clock.getAsLong();
        }
        claimUntil = until;
    }

    /** Users' cancellations are known completely as of a read that was sent then. */
    void known(long sentAt) {
        knownAt = Math.max(knownAt, sentAt);
    }

    long knownAt() {
        return knownAt;
    }

    /** What the former leader left has been read. */
    void loaded() {
        loaded = true;
    }

    boolean isLoaded() {
        return loaded;
    }

    /** Whether it may decide and order for all controllers. */
    boolean holdsClaim() {
        return clock.getAsLong() < claimUntil;
    }

    /** Whether orders may start tasks: their jobs were open a moment ago. */
    boolean mayStart() {
        return holdsClaim() && isKnownWithin(startMs);
    }

    /**
     * Whether an answer may prolong a worker's lease. Before a leader has read which jobs are open it could stop
     * none of those that are over; leaders that follow one another before they have read would keep them for ever.
     */
    boolean mayKeep() {
        return loaded && isInGrace() && isKnownWithin(keepMs);
    }

    /**
     * Whether a task may be kept that should be stopped and can't be, since the claim has lapsed.
     *
     * @param overSince its job was not called off before
     */
    boolean mayKeepOver(long overSince) {
        return clock.getAsLong() - overSince < keepMs;
    }

    boolean isInGrace() {
        return clock.getAsLong() <= claimUntil + graceMs;
    }

    private boolean isKnownWithin(long ms) {
        return clock.getAsLong() - knownAt < ms;
    }

    /** How long the claim has stood without a break; negative: it does not stand. */
    long heldMs() {
        return holdsClaim() ? clock.getAsLong() - regainedAt : -1;
    }
}

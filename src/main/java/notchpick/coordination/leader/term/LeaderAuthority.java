package notchpick.coordination.leader.term;

import java.util.function.LongSupplier;
import notchpick.coordination.Deployment;

/**
 * What the leader may tell workers at this moment; the only place that decides it. Two ages count: that of its leader
 * lease, and that of what it knows of users' cancellations. They differ, as lease renewals and reads may take
 * different paths. A worker's lease must not be renewed for longer than a cancellation leaves time for that is not
 * known yet, or can't be acted on: whoever confirmed it did so after the last complete read was sent.
 */
public final class LeaderAuthority {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final LongSupplier clock;
    private final long gracePeriodMs;
    private final long stalenessBoundMs;
    private final long launchStalenessBoundMs;
    private long leaseUntil;
    private long leaseRegainedAt = NEVER;
    private long lastCompleteReadSentAtMs = NEVER;
    private boolean recovered;

    /**
     * @param clock the steady clock, in milliseconds
     * @param leaderLeaseS the length of the leader lease
     * @param leaseUntil when the lease with which the term began runs out
     */
    public LeaderAuthority(LongSupplier clock, Deployment deployment, double leaderLeaseS, long leaseUntil) {
        this.clock = clock;
        this.gracePeriodMs = deployment.gracePeriodMs(leaderLeaseS);
        this.stalenessBoundMs = deployment.stalenessBoundMs(leaderLeaseS);
        this.launchStalenessBoundMs = deployment.heartbeatPeriodMs();
        this.leaseUntil = leaseUntil;
    }

    /** The leader lease is surely held until then. */
    public void extendLease(long untilMs) {
        if (!holdsLease()) {
            leaseRegainedAt = clock.getAsLong();
        }
        leaseUntil = untilMs;
    }

    /** All cancellations are known that were confirmed before a read that was sent then. */
    public void recordCompleteRead(long sentAtMs) {
        lastCompleteReadSentAtMs = Math.max(lastCompleteReadSentAtMs, sentAtMs);
    }

    /** When the last complete read of users' cancellations was sent. */
    public long lastCompleteReadSentAtMs() {
        return lastCompleteReadSentAtMs;
    }

    /** What the former leader left has been read. */
    public void markRecovered() {
        recovered = true;
    }

    public boolean hasRecovered() {
        return recovered;
    }

    /** Whether the leader may decide and give commands. */
    public boolean holdsLease() {
        return clock.getAsLong() < leaseUntil;
    }

    /** How long the lease has been held without a break, in milliseconds; negative if it has expired. */
    public long leaseHeldMs() {
        return holdsLease() ? clock.getAsLong() - leaseRegainedAt : -1;
    }

    /** Whether commands may launch tasks: their jobs were open a moment ago. */
    public boolean mayLaunchTasks() {
        return holdsLease() && isReadWithin(launchStalenessBoundMs);
    }

    /**
     * Whether a reply may renew a worker's lease. Before a leader has read which jobs are open it could stop none of
     * those that have ended; leaders that follow one another before they have read would keep them forever.
     */
    public boolean mayRenewWorkerLease() {
        return recovered && isInGracePeriod() && isReadWithin(stalenessBoundMs);
    }

    /**
     * Whether a worker's lease may be renewed though a task there should be stopped, and can't be as the leader lease
     * has expired.
     *
     * @param jobOpenUntilMs the task's job had not been cancelled before
     */
    public boolean mayRenewDespiteEndedJob(long jobOpenUntilMs) {
        return clock.getAsLong() - jobOpenUntilMs < stalenessBoundMs;
    }

    /** Whether the leader lease is held, or expired only a short time ago. */
    public boolean isInGracePeriod() {
        return clock.getAsLong() <= leaseUntil + gracePeriodMs;
    }

    private boolean isReadWithin(long ms) {
        return clock.getAsLong() - lastCompleteReadSentAtMs < ms;
    }
}

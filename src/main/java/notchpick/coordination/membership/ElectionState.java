package notchpick.coordination.membership;

import java.util.Objects;

/**
 * What a controller knows of the leadership, and whether it leads itself. A plain state machine: {@link LeaderElection}
 * does the requests and the timers, and hands times in.
 */
final class ElectionState {
    private final String node;
    private boolean leading;
    /** The lease of the state store to which the leader key is attached, while this controller leads. */
    private long lease;

    private long term;
    private String leader;
    /** Rises when this controller starts or stops to lead, so that what belongs to a former leadership is recognized. */
    private long generation;

    private long holdoffUntilMs;
    /** Since when the leader key has been missing; 0: it is not. */
    private long vacantSinceMs;

    ElectionState(String node) {
        this.node = node;
    }

    /** The leader key exists, or could not be read: then nothing says that it has been missing all the time. */
    void clearVacancy() {
        vacantSinceMs = 0;
    }

    /** The leader key does not exist. */
    void recordVacancy(long nowMs) {
        if (vacantSinceMs == 0) {
            vacantSinceMs = nowMs;
        }
    }

    /** Another controller holds the leader key; a term older than one known counts for nothing. */
    void recordLeader(long observedTerm, String holder) {
        if (observedTerm >= term) {
            term = observedTerm;
            leader = holder;
        }
    }

    /** Nobody leads, as far as is known. */
    void clearLeader() {
        leader = null;
    }

    /**
     * A peer knows of this term.
     *
     * @return whether it is a later one than was known
     */
    boolean observeTerm(long observedTerm, String observedLeader) {
        if (observedTerm <= term) {
            return false;
        }
        term = observedTerm;
        leader = observedLeader;
        return true;
    }

    /** Whether this controller may campaign as far as the time since its last resignation goes. */
    boolean isHoldoffOver(long nowMs) {
        return nowMs >= holdoffUntilMs;
    }

    /** Whether leadership has been vacant for this time. */
    boolean isVacantFor(long durationMs, long nowMs) {
        return nowMs - vacantSinceMs >= durationMs;
    }

    /** This controller does not campaign before then. */
    void holdOffUntil(long untilMs) {
        holdoffUntilMs = untilMs;
    }

    /** This controller has been elected. */
    void startLeading(long electedTerm, long leaderLease) {
        leading = true;
        generation++;
        lease = leaderLease;
        term = electedTerm;
        leader = node;
    }

    /** This controller gives up its leadership. */
    void stopLeading() {
        leading = false;
        generation++;
        leader = Objects.equals(leader, node) ? null : leader;
    }

    /** The leader lease of this controller has expired. */
    void loseLease() {
        leading = false;
        leader = null;
    }

    boolean isLeading() {
        return leading;
    }

    /** Whether this controller leads, and has done so without a break since its generation was this one. */
    boolean isLeadingSince(long formerGeneration) {
        return leading && generation == formerGeneration;
    }

    boolean isHolder(String leaderKeyHolder) {
        return node.equals(leaderKeyHolder);
    }

    long generation() {
        return generation;
    }

    long lease() {
        return lease;
    }

    long term() {
        return term;
    }

    /** Who leads, as far as is known; null if nobody does. */
    String leader() {
        return leader;
    }
}

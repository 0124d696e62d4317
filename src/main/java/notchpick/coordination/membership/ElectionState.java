package notchpick.coordination.membership;

import java.util.Objects;

/**
 * One controller's view of the leadership, and whether it leads itself. A state machine without I/O or a clock:
 * {@link LeaderElection} sends the requests, runs the timers and passes the current time.
 */
final class ElectionState {
    private final String node;
    private boolean leading;
    /** The state store lease that the leader key is attached to; valid only while this controller leads. */
    private long lease;

    private long term;
    private String leader;
    /** Incremented on election and on resignation, so that callbacks from an earlier leadership can be ignored. */
    private long generation;

    private long holdoffUntilMs;
    /** When the leader key was first found missing; 0 if it is not known to be missing. */
    private long vacantSinceMs;

    ElectionState(String node) {
        this.node = node;
    }

    /** Ends the vacancy: the leader key exists, or could not be read and may have existed in the meantime. */
    void clearVacancy() {
        vacantSinceMs = 0;
    }

    /** Records that the leader key does not exist. A vacancy that has already begun keeps its start. */
    void recordVacancy(long nowMs) {
        if (vacantSinceMs == 0) {
            vacantSinceMs = nowMs;
        }
    }

    /** Records the holder of the leader key, unless a later term is known. */
    void recordLeader(long observedTerm, String holder) {
        if (observedTerm >= term) {
            term = observedTerm;
            leader = holder;
        }
    }

    /** Records that no leader is known. */
    void clearLeader() {
        leader = null;
    }

    /**
     * Records a term that a peer has reported, if it is later than the known one.
     *
     * @return whether it is later
     */
    boolean observeTerm(long observedTerm, String observedLeader) {
        if (observedTerm <= term) {
            return false;
        }
        term = observedTerm;
        leader = observedLeader;
        return true;
    }

    /** Whether the holdoff after the last resignation is over. */
    boolean isHoldoffOver(long nowMs) {
        return nowMs >= holdoffUntilMs;
    }

    /** Whether the leader key has been missing for at least this time; only meaningful during a vacancy. */
    boolean isVacantFor(long durationMs, long nowMs) {
        return nowMs - vacantSinceMs >= durationMs;
    }

    /** Keeps this controller from campaigning before the given time. */
    void holdOffUntil(long untilMs) {
        holdoffUntilMs = untilMs;
    }

    /** Records that this controller has been elected. */
    void startLeading(long electedTerm, long leaderLease) {
        leading = true;
        generation++;
        lease = leaderLease;
        term = electedTerm;
        leader = node;
    }

    /** Ends the leadership of this controller. A later leader that is already known is kept. */
    void stopLeading() {
        leading = false;
        generation++;
        leader = Objects.equals(leader, node) ? null : leader;
    }

    /** Ends the leadership of this controller because its leader lease has expired. */
    void loseLease() {
        leading = false;
        leader = null;
    }

    boolean isLeading() {
        return leading;
    }

    /** Whether this controller has led without interruption since the given generation began. */
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

    /** The last known leader; null if none is known. */
    String leader() {
        return leader;
    }
}

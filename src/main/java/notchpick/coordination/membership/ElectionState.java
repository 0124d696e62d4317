package notchpick.coordination.membership;

import java.util.Objects;

/**
 * One controller's view of the leadership, and its own part in it. A state machine without I/O or a clock:
 * {@link LeaderElection} sends the requests, runs the timers and passes the current time.
 *
 * <p>The controller is in one phase at a time, and each phase has a number. An answer to a request counts only in the
 * phase in which the request was sent. So a read of the leader key that was sent while following is never compared with
 * an election that began after it, and an election whose campaign is over can't be won any more.
 */
final class ElectionState {
    /** What a controller does in the election. */
    private enum Phase {
        /** Polls the leader key. */
        FOLLOWING,
        /** Has sent requests that may make it the leader, and does not know their outcome. */
        CAMPAIGNING,
        /** Leads the current term. */
        LEADING
    }

    private final String node;
    private Phase phase = Phase.FOLLOWING;
    /** The number of the current phase, which increases with each change of phase. */
    private long generation;
    /** The state store lease that the leader key is attached to; valid only while this controller leads. */
    private long lease;

    private long term;
    private String leader;

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

    /** Begins a campaign, whose requests may make this controller the leader. */
    void startCampaign() {
        leavePhase(Phase.FOLLOWING, Phase.CAMPAIGNING);
    }

    /** Ends the campaign without success. From now on it can't be won, whatever answers still arrive. */
    void abandonCampaign() {
        leavePhase(Phase.CAMPAIGNING, Phase.FOLLOWING);
    }

    /** Records that this controller has been elected in its campaign. */
    void startLeading(long electedTerm, long leaderLease) {
        leavePhase(Phase.CAMPAIGNING, Phase.LEADING);
        lease = leaderLease;
        term = electedTerm;
        leader = node;
    }

    /** Ends the leadership of this controller. A later leader that is already known is kept. */
    void stopLeading() {
        leavePhase(Phase.LEADING, Phase.FOLLOWING);
        leader = Objects.equals(leader, node) ? null : leader;
    }

    /** Ends the leadership of this controller because its leader lease has expired. */
    void loseLease() {
        leavePhase(Phase.LEADING, Phase.FOLLOWING);
        leader = null;
    }

    private void leavePhase(Phase expected, Phase next) {
        if (phase != expected) {
            throw new IllegalStateException("is " + phase + ", not " + expected);
        }
        phase = next;
        generation++;
    }

    boolean isFollowing() {
        return phase == Phase.FOLLOWING;
    }

    boolean isLeading() {
        return phase == Phase.LEADING;
    }

    /** Whether the phase with this number has not ended. */
    boolean isCurrent(long formerGeneration) {
        return generation == formerGeneration;
    }

    boolean isHolder(String leaderKeyHolder) {
        return node.equals(leaderKeyHolder);
    }

    /** The number of the current phase. */
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

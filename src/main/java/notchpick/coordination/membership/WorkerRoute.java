package notchpick.coordination.membership;

/**
 * Tracks, at a controller that does not lead, the path from one worker to the leader of one term. Callers pass the
 * current time; a stored time of 0 means never.
 */
final class WorkerRoute {
    private static final int MAX_BACKOFF_DOUBLINGS = 8;

    private final long term;
    private long lastHeartbeatAtMs;
    private long lastSequence;
    /** When the worker was last redirected to the leader. */
    private long redirectedToLeaderAtMs;
    /** When the leader last replied to a heartbeat of the worker that was relayed here. */
    private long relayedAtMs;
    /** When the worker was last redirected otherwise: to a relay, to a leader that can't relay, or to no controller. */
    private long redirectedElsewhereAtMs;

    private int failedRedirects;
    private long noRedirectBeforeMs;

    WorkerRoute(long term) {
        this.term = term;
    }

    private static boolean isWithin(long timeMs, long durationMs, long nowMs) {
        return timeMs != 0 && nowMs - timeMs <= durationMs;
    }

    long term() {
        return term;
    }

    /** Records a heartbeat. Workers increment the sequence number with each heartbeat they send. */
    void recordHeartbeat(long sequence, long nowMs) {
        lastHeartbeatAtMs = nowMs;
        lastSequence = sequence;
    }

    /** Whether this sequence number directly follows that of the last heartbeat recorded here. */
    boolean isNextInSequence(long sequence) {
        return sequence == lastSequence + 1;
    }

    boolean hasHeartbeatWithin(long durationMs, long nowMs) {
        return nowMs - lastHeartbeatAtMs <= durationMs;
    }

    /** Records that the worker is redirected to the leader. */
    void recordRedirectToLeader(long nowMs) {
        redirectedToLeaderAtMs = nowMs;
    }

    boolean isRedirectedToLeaderWithin(long durationMs, long nowMs) {
        return isWithin(redirectedToLeaderAtMs, durationMs, nowMs);
    }

    /** Records any other redirect of the worker, including one that names no controller. */
    void recordRedirectElsewhere(long nowMs) {
        redirectedElsewhereAtMs = nowMs;
    }

    boolean isRedirectedElsewhereWithin(long durationMs, long nowMs) {
        return isWithin(redirectedElsewhereAtMs, durationMs, nowMs);
    }

    /** Records that the leader has replied to a relayed heartbeat. */
    void recordRelayedReply(long nowMs) {
        relayedAtMs = nowMs;
    }

    boolean hasEverBeenRelayed() {
        return relayedAtMs != 0;
    }

    /** Whether the leader replied to a relayed heartbeat within this time and after the last redirect to the leader. */
    boolean isRelayedWithin(long durationMs, long nowMs) {
        return isWithin(relayedAtMs, durationMs, nowMs) && relayedAtMs > redirectedToLeaderAtMs;
    }

    /** Records that the worker could not reach the leader, and doubles the backoff before the next redirect. */
    void recordFailedRedirect(long initialBackoffMs, long maxBackoffMs, long nowMs) {
        failedRedirects++;
        long backoffMs = initialBackoffMs << Math.min(failedRedirects, MAX_BACKOFF_DOUBLINGS);
        noRedirectBeforeMs = nowMs + Math.min(maxBackoffMs, backoffMs);
    }

    boolean isRedirectBackoffOver(long nowMs) {
        return nowMs >= noRedirectBeforeMs;
    }
}

package notchpick.coordination.membership;

/**
 * What a controller that does not lead knows of the path from one worker to the leader of one term. Times are handed in;
 * 0 stands for never.
 */
final class WorkerRoute {
    private static final int MAX_BACKOFF_DOUBLINGS = 8;

    private final long term;
    private long lastHeartbeatAtMs;
    private long lastSequence;
    /** When the worker was last redirected to the leader. */
    private long redirectedToLeaderAtMs;
    /** When a heartbeat of the worker was last relayed and replied to. */
    private long relayedAtMs;
    /** When the worker was last redirected to a relay, or to any other controller. */
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

    /** A heartbeat has come, the number of which rises by one with each that the worker sends. */
    void recordHeartbeat(long sequence, long nowMs) {
        lastHeartbeatAtMs = nowMs;
        lastSequence = sequence;
    }

    /** Whether a heartbeat with this number is the one that follows the last. */
    boolean isNextInSequence(long sequence) {
        return sequence == lastSequence + 1;
    }

    boolean hasHeartbeatWithin(long durationMs, long nowMs) {
        return nowMs - lastHeartbeatAtMs <= durationMs;
    }

    /** The worker is redirected to the leader. */
    void recordRedirectToLeader(long nowMs) {
        redirectedToLeaderAtMs = nowMs;
    }

    boolean isRedirectedToLeaderWithin(long durationMs, long nowMs) {
        return isWithin(redirectedToLeaderAtMs, durationMs, nowMs);
    }

    /** The worker is redirected to another controller. */
    void recordRedirectElsewhere(long nowMs) {
        redirectedElsewhereAtMs = nowMs;
    }

    boolean isRedirectedElsewhereWithin(long durationMs, long nowMs) {
        return isWithin(redirectedElsewhereAtMs, durationMs, nowMs);
    }

    /** The leader has replied to a relayed heartbeat. */
    void recordRelayedReply(long nowMs) {
        relayedAtMs = nowMs;
    }

    boolean hasEverBeenRelayed() {
        return relayedAtMs != 0;
    }

    /** Whether the worker's last heartbeat, no older than this, was relayed here and replied to. */
    boolean isRelayedWithin(long durationMs, long nowMs) {
        return isWithin(relayedAtMs, durationMs, nowMs) && relayedAtMs > redirectedToLeaderAtMs;
    }

    /** The worker has not got through to the leader: the next redirect there waits twice as long as the last. */
    void recordFailedRedirect(long initialBackoffMs, long maxBackoffMs, long nowMs) {
        failedRedirects++;
        long backoffMs = initialBackoffMs << Math.min(failedRedirects, MAX_BACKOFF_DOUBLINGS);
        noRedirectBeforeMs = nowMs + Math.min(maxBackoffMs, backoffMs);
    }

    boolean isRedirectBackoffOver(long nowMs) {
        return nowMs >= noRedirectBeforeMs;
    }
}

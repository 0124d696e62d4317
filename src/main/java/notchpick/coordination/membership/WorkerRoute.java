package notchpick.coordination.membership;

/**
 * What a controller that does not lead knows of the way from one worker to the leader of one term. Times are handed in;
 * 0 stands for never.
 */
final class WorkerRoute {
    private static final int MAX_BACKOFF_DOUBLINGS = 8;

    private final long term;
    private long lastHeartbeatAt;
    private long lastSequence;
    /** When the worker was last redirected to the leader. */
    private long redirectedToLeaderAt;
    /** When a heartbeat of the worker was last relayed and replied to. */
    private long relayedAt;
    /** When the worker was last redirected to a relay, or to any other controller. */
    private long redirectedElsewhereAt;

    private int failedRedirects;
    private long noRedirectBefore;

    WorkerRoute(long term) {
        this.term = term;
    }

    private static boolean isWithin(long time, long durationMs, long now) {
        return time != 0 && now - time <= durationMs;
    }

    long term() {
        return term;
    }

    /** A heartbeat has come, the number of which rises by one with each that the worker sends. */
    void heartbeatReceived(long sequence, long now) {
        lastHeartbeatAt = now;
        lastSequence = sequence;
    }

    /** Whether a heartbeat with this number is the one that follows the last. */
    boolean isNextInSequence(long sequence) {
        return sequence == lastSequence + 1;
    }

    boolean hasHeartbeatWithin(long durationMs, long now) {
        return now - lastHeartbeatAt <= durationMs;
    }

    /** The worker is redirected to the leader. */
    void redirectedToLeader(long now) {
        redirectedToLeaderAt = now;
    }

    boolean isRedirectedToLeaderWithin(long durationMs, long now) {
        return isWithin(redirectedToLeaderAt, durationMs, now);
    }

    /** The worker is redirected to another controller. */
    void redirectedElsewhere(long now) {
        redirectedElsewhereAt = now;
    }

    boolean isRedirectedElsewhereWithin(long durationMs, long now) {
        return isWithin(redirectedElsewhereAt, durationMs, now);
    }

    /** The leader has replied to a relayed heartbeat. */
    void relayed(long now) {
        relayedAt = now;
    }

    boolean isEverRelayed() {
        return relayedAt != 0;
    }

    /** Whether the worker's last heartbeat, no older than this, was relayed here and replied to. */
    boolean isRelayedWithin(long durationMs, long now) {
        return isWithin(relayedAt, durationMs, now) && relayedAt > redirectedToLeaderAt;
    }

    /** The worker has not got through to the leader: the next redirect there waits twice as long as the last. */
    void redirectFailed(long initialBackoffMs, long maxBackoffMs, long now) {
        failedRedirects++;
        long backoffMs = initialBackoffMs << Math.min(failedRedirects, MAX_BACKOFF_DOUBLINGS);
        noRedirectBefore = now + Math.min(maxBackoffMs, backoffMs);
    }

    boolean isRedirectBackoffOver(long now) {
        return now >= noRedirectBefore;
    }
}

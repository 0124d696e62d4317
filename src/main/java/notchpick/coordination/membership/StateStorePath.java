package notchpick.coordination.membership;

/**
 * The path over which requests to the state store go: the direct link, or a peer as relay. A plain state machine; times
 * are handed in.
 */
final class StateStorePath {
    private static final long NEVER = Long.MIN_VALUE;

    private final long settleMs;
    private final long breakerOpenMs;
    /** The peer over which requests go; null: the direct link. */
    private String relay;

    private long relayedSinceMs;
    private long lastDirectSuccessAtMs = NEVER;
    /** Since when the direct link has served every request, while requests were relayed; 0: it does not. */
    private long directHealthySinceMs;

    private long breakerOpenUntilMs = NEVER;

    /**
     * @param settleMs how long the direct link must serve every request before it is used again, in milliseconds
     * @param breakerOpenMs how long no relay is tried after one could not reach the state store, in milliseconds
     */
    StateStorePath(long settleMs, long breakerOpenMs) {
        this.settleMs = settleMs;
        this.breakerOpenMs = breakerOpenMs;
    }

    /** The peer over which requests go; null if they go over the direct link. */
    String relay() {
        return relay;
    }

    boolean isRelayed() {
        return relay != null;
    }

    boolean isRelayedBy(String peer) {
        return peer.equals(relay);
    }

    /** How long requests have been relayed, in milliseconds; 0 if they are not. */
    long relayedForMs(long nowMs) {
        return isRelayed() ? nowMs - relayedSinceMs : 0;
    }

    /** From now on requests go over this relay; null: over the direct link. */
    void switchTo(String newRelay, long nowMs) {
        relay = newRelay;
        relayedSinceMs = nowMs;
        directHealthySinceMs = 0;
    }

    /** The direct link has served a request. */
    void recordDirectSuccess(long nowMs) {
        lastDirectSuccessAtMs = nowMs;
        if (!isRelayed()) {
            directHealthySinceMs = 0;
        } else if (directHealthySinceMs == 0) {
            directHealthySinceMs = nowMs;
        }
    }

    /** The direct link has failed to serve a request. */
    void recordDirectFailure() {
        directHealthySinceMs = 0;
    }

    /** Whether requests are relayed though the direct link has proved healthy; one that flaps does not. */
    boolean isDirectRestored(long nowMs) {
        return isRelayed() && directHealthySinceMs != 0 && nowMs - directHealthySinceMs >= settleMs;
    }

    /** Whether the direct link has served any request since then. */
    boolean hasDirectSuccessSince(long sinceMs) {
        return lastDirectSuccessAtMs >= sinceMs;
    }

    /** A relay could not reach the state store either: the circuit breaker opens. */
    void openBreaker(long nowMs) {
        breakerOpenUntilMs = nowMs + breakerOpenMs;
    }

    /** Whether no relay is to be tried at present. */
    boolean isBreakerOpen(long nowMs) {
        return nowMs < breakerOpenUntilMs;
    }
}

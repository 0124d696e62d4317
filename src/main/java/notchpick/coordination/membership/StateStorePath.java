package notchpick.coordination.membership;

/**
 * The path of requests to the state store: the direct link, or a peer as relay. A state machine without I/O or a clock;
 * callers pass the current time.
 */
final class StateStorePath {
    private static final long NEVER = Long.MIN_VALUE;

    private final long settleMs;
    private final long breakerOpenMs;
    /** The peer that relays requests; null for the direct link. */
    private String relay;

    private long relayedSinceMs;
    private long lastDirectSuccessAtMs = NEVER;
    /**
     * While requests are relayed, the time since when the direct link has served every copy sent over it; 0 if it has
     * served none. Any failure resets it, so that requests do not return to a link that flaps.
     */
    private long directHealthySinceMs;

    private long breakerOpenUntilMs = NEVER;

    /**
     * @param settleMs how long the direct link must serve every copy before requests return to it, in milliseconds
     * @param breakerOpenMs how long no further relay is tried after one was unavailable, in milliseconds
     */
    StateStorePath(long settleMs, long breakerOpenMs) {
        this.settleMs = settleMs;
        this.breakerOpenMs = breakerOpenMs;
    }

    /** The peer that relays requests; null if they take the direct link. */
    String relay() {
        return relay;
    }

    boolean isRelayed() {
        return relay != null;
    }

    boolean isRelayedBy(String peer) {
        return peer.equals(relay);
    }

    /** How long requests have been relayed, in milliseconds; 0 if they take the direct link. */
    long relayedForMs(long nowMs) {
        return isRelayed() ? nowMs - relayedSinceMs : 0;
    }

    /** Sends requests through this relay from now on, or over the direct link if null. */
    void switchTo(String newRelay, long nowMs) {
        relay = newRelay;
        relayedSinceMs = nowMs;
        directHealthySinceMs = 0;
    }

    /** Records that the direct link has served a request. */
    void recordDirectSuccess(long nowMs) {
        lastDirectSuccessAtMs = nowMs;
        if (!isRelayed()) {
            directHealthySinceMs = 0;
        } else if (directHealthySinceMs == 0) {
            directHealthySinceMs = nowMs;
        }
    }

    /** Records that the direct link has failed to serve a request. */
    void recordDirectFailure() {
        directHealthySinceMs = 0;
    }

    /** Whether requests are relayed although the direct link has served every copy for the settle time. */
    boolean isDirectRestored(long nowMs) {
        return isRelayed() && directHealthySinceMs != 0 && nowMs - directHealthySinceMs >= settleMs;
    }

    /** Whether the direct link has served any request since the given time. */
    boolean hasDirectSuccessSince(long sinceMs) {
        return lastDirectSuccessAtMs >= sinceMs;
    }

    /** Opens the circuit breaker, because a relay could not reach the state store either. */
    void openBreaker(long nowMs) {
        breakerOpenUntilMs = nowMs + breakerOpenMs;
    }

    /** Whether the circuit breaker is open and no further relay may be tried. */
    boolean isBreakerOpen(long nowMs) {
        return nowMs < breakerOpenUntilMs;
    }
}

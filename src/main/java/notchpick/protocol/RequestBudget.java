package notchpick.protocol;

import notchpick.transport.EventLoop;
import notchpick.transport.TokenBucket;

/** This controller's share of the state store's request rate; one second's worth of requests may be sent at once. */
final class RequestBudget {
    /** The share of one second's requests that is reserved for requests that can't wait. */
    private static final double RESERVED_RATIO = 0.3;

    private final TokenBucket requests;
    private final double reserved;

    RequestBudget(EventLoop loop, double requestsPerS) {
        this.requests = new TokenBucket(loop, requestsPerS, requestsPerS, requestsPerS);
        this.reserved = requestsPerS * RESERVED_RATIO;
    }

    /** Whether there is budget beyond the share reserved for submissions and the leader's writes. */
    boolean hasUnreserved() {
        return requests.available() >= reserved;
    }

    /** Takes one request from the budget if there is one left; returns whether the request may be sent. */
    boolean tryTake() {
        boolean isAvailable = requests.available() >= 1;
        if (isAvailable) {
            requests.take(1);
        }
        return isAvailable;
    }

    /** Takes one request, or what is left of the budget, for a request that is sent in any case. */
    void takeUrgent() {
        requests.take(Math.min(1, requests.available()));
    }
}

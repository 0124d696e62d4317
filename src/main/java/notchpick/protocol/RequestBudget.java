package notchpick.protocol;

import notchpick.transport.EventLoop;
import notchpick.transport.TokenBucket;

/** This controller's part of the request rate that the state store serves; a second's requests may come at once. */
final class RequestBudget {
    /** This part of a second's requests is reserved for what can't wait. */
    private static final double RESERVED_RATIO = 0.3;

    private final TokenBucket requests;
    private final double reserved;

    RequestBudget(EventLoop loop, double requestsPerS) {
        this.requests = new TokenBucket(loop, requestsPerS, requestsPerS, requestsPerS);
        this.reserved = requestsPerS * RESERVED_RATIO;
    }

    /** Whether more is left than is reserved for submissions and the leader's writes. */
    boolean exceedsReserve() {
        return requests.available() >= reserved;
    }

    /** Takes one request from the budget; returns whether it may be sent. */
    boolean tryTake() {
        boolean isAvailable = requests.available() >= 1;
        if (isAvailable) {
            requests.take(1);
        }
        return isAvailable;
    }

    /** Takes what there is of one request that is sent in any case. */
    void takeUrgent() {
        requests.take(Math.min(1, requests.available()));
    }
}

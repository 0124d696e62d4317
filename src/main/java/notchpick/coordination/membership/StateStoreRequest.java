package notchpick.coordination.membership;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;

/**
 * A request to the state store, tracked until its sender gets a response. Copies of it may be in flight over several
 * paths. The first response that serves the request completes it; later ones are dropped.
 */
final class StateStoreRequest {
    private final Request request;
    private final long sentAtMs;
    private final long deadlineMs;
    private final boolean hedged;
    private final Consumer<Response> onResponse;
    private final Set<String> triedRelays = new HashSet<>();
    /** The relay that the last relayed copy was sent to; null if no copy was relayed. */
    private String lastRelay;

    private int copiesInFlight;
    private boolean servedByRelay;
    private boolean completed;

    /** @param hedged whether the request may be executed twice and is sent over a second path if the first is slow */
    StateStoreRequest(Request request, long sentAtMs, long timeoutMs, boolean hedged, Consumer<Response> onResponse) {
        this.request = request;
        this.sentAtMs = sentAtMs;
        this.deadlineMs = sentAtMs + timeoutMs;
        this.hedged = hedged;
        this.onResponse = onResponse;
    }

    Request request() {
        return request;
    }

    long sentAtMs() {
        return sentAtMs;
    }

    /** The time left for a response, in milliseconds; 0 or negative from the deadline on. */
    long remainingMs(long nowMs) {
        return deadlineMs - nowMs;
    }

    boolean isHedged() {
        return hedged;
    }

    boolean isCompleted() {
        return completed;
    }

    boolean hasTried(String relay) {
        return triedRelays.contains(relay);
    }

    /** Whether the last relayed copy was sent to this relay; for null, whether no copy was relayed. */
    boolean wasLastRelayedBy(String relay) {
        return Objects.equals(lastRelay, relay);
    }

    boolean isServedByRelay() {
        return servedByRelay;
    }

    /** Records that a copy is sent over the direct link. */
    void recordSentDirectly() {
        copiesInFlight++;
    }

    /** Records that a copy is sent to this relay. */
    void recordSentTo(String relay) {
        lastRelay = relay;
        triedRelays.add(relay);
        copiesInFlight++;
    }

    /** Records that a relay has returned a response that serves the request, even if another copy was faster. */
    void recordServedByRelay() {
        servedByRelay = true;
    }

    /** Records that a copy was refused, got no response or found the service unavailable. */
    void recordCopyFailure() {
        copiesInFlight--;
    }

    boolean hasCopiesInFlight() {
        return copiesInFlight > 0;
    }

    /** Passes the response to the sender, unless it already has one. */
    void complete(Response response) {
        if (!completed) {
            completed = true;
            onResponse.accept(response);
        }
    }
}

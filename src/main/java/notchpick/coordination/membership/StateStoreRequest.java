package notchpick.coordination.membership;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;

/**
 * One request to the state store until its sender has the response. Copies of it may be in flight over several paths;
 * the first response that serves it completes it, and all others are dropped.
 */
final class StateStoreRequest {
    private final Request request;
    private final long sentAtMs;
    private final long deadlineMs;
    private final boolean hedged;
    private final Consumer<Response> onResponse;
    private final Set<String> triedRelays = new HashSet<>();
    /** The relay that got the last copy; null if none got any. */
    private String lastRelay;

    private int copiesInFlight;
    private boolean servedByRelay;
    private boolean completed;

    /** @param hedged whether it may be sent twice, and a second path is tried when the first is slow */
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

    /** The time that is left for a response, in milliseconds; not above 0 after the deadline. */
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

    /** Whether the last copy that was relayed went over this relay; null stands for no relay. */
    boolean wasLastRelayedBy(String relay) {
        return Objects.equals(lastRelay, relay);
    }

    boolean isServedByRelay() {
        return servedByRelay;
    }

    /** A copy goes over the direct link. */
    void recordSentDirectly() {
        copiesInFlight++;
    }

    /** A copy goes over this relay. */
    void recordSentTo(String relay) {
        lastRelay = relay;
        triedRelays.add(relay);
        copiesInFlight++;
    }

    /** A relay has brought a response that serves the request. */
    void recordServedByRelay() {
        servedByRelay = true;
    }

    /** A copy has got no response, or was refused. */
    void recordCopyFailure() {
        copiesInFlight--;
    }

    boolean hasCopiesInFlight() {
        return copiesInFlight > 0;
    }

    /** Gives the response to the sender, unless it has one. */
    void complete(Response response) {
        if (!completed) {
            completed = true;
            onResponse.accept(response);
        }
    }
}

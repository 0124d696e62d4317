package notchpick.protocol;

import java.util.function.Consumer;
import notchpick.transport.HttpCaller;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;

/** Delivers requests to the state store, directly or through a peer. */
public interface StateStoreTransport {
    /**
     * Sends a request and calls back exactly once, like {@link HttpCaller}.
     *
     * @param hedged whether the request may be sent again by another route while it is unanswered; for requests whose
     *     response is needed soon
     */
    void send(Request request, long timeoutMs, boolean hedged, Consumer<Response> then);

    /** Sends a request over this controller's own connection, never through a peer. */
    default void sendDirect(Request request, long timeoutMs, Consumer<Response> then) {
        send(request, timeoutMs, false, then);
    }

    /** Creates a transport that always sends requests directly. */
    static StateStoreTransport direct(HttpCaller caller) {
        return (request, timeoutMs, hedged, then) -> caller.call(request, timeoutMs, then);
    }
}

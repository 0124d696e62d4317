package notchpick.protocol;

import java.util.function.Consumer;
import notchpick.transport.HttpCaller;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;

/** How requests reach the state store. */
public interface StateStoreTransport {
    /**
     * Sends a request and calls back exactly once, as a {@link HttpCaller} does.
     *
     * @param hedged whether the request may be sent again by another route while it is unanswered, as its response is
     *     needed soon
     */
    void send(Request request, long timeoutMs, boolean hedged, Consumer<Response> then);

    /** Sends a request over this controller's own link, never by way of a peer. */
    default void sendDirect(Request request, long timeoutMs, Consumer<Response> then) {
        send(request, timeoutMs, false, then);
    }

    /** A transport that knows one route only. */
    static StateStoreTransport direct(HttpCaller caller) {
        return (request, timeoutMs, hedged, then) -> caller.call(request, timeoutMs, then);
    }
}

package notchpick.protocol;

import java.util.function.Consumer;
import notchpick.transport.HttpCaller;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;

/** How requests reach the state service. */
public interface StateStoreTransport {
    /**
     * Sends a request and calls back exactly once, as a {@link HttpCaller} does.
     *
     * @param hasty whether an answer is needed soon and the request may be sent twice
     */
    void send(Request call, long timeoutMs, boolean hasty, Consumer<Response> then);

    /** Sends a request by this controller's own link and no other. */
    default void sendHere(Request call, long timeoutMs, Consumer<Response> then) {
        send(call, timeoutMs, false, then);
    }

    /** The plain way. */
    static StateStoreTransport direct(HttpCaller caller) {
        return (call, timeoutMs, hasty, then) -> caller.call(call, timeoutMs, then);
    }
}

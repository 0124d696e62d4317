package notchpick.protocol;

import java.util.function.Consumer;
import notchpick.transport.Caller;
import notchpick.transport.Caller.Answer;
import notchpick.transport.Caller.Call;

/** How requests reach the state service. */
public interface StateTransport {
    /**
     * Sends a request and calls back exactly once, as a {@link Caller} does.
     *
     * @param hasty whether an answer is needed soon and the request may be sent twice
     */
    void send(Call call, long timeoutMs, boolean hasty, Consumer<Answer> then);

    /** Sends a request by this controller's own link and no other. */
    default void sendHere(Call call, long timeoutMs, Consumer<Answer> then) {
        send(call, timeoutMs, false, then);
    }

    /** The plain way. */
    static StateTransport direct(Caller caller) {
        return (call, timeoutMs, hasty, then) -> caller.call(call, timeoutMs, then);
    }
}

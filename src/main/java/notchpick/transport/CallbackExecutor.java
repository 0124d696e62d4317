package notchpick.transport;

import java.util.function.Consumer;

/** Runs the callbacks of requests on the event loop of the actor that sent them, where they may access its state. */
@FunctionalInterface
public interface CallbackExecutor {
    /** Wraps a callback so that any thread may call it: it runs on the event loop, unless the actor has stopped. */
    <T> Consumer<T> onLoop(Consumer<T> callback);
}

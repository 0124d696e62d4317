package notchpick.transport;

import java.util.function.Consumer;

/** Runs the callbacks of requests in the turn of the actor that sent them, where its state may be touched. */
@FunctionalInterface
public interface CallbackExecutor {
    /** A callback that runs the given one in the actor's turn. */
    <T> Consumer<T> onLoop(Consumer<T> callback);
}

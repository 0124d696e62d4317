package notchpick.transport;

import java.util.function.Consumer;

/** Serves requests of other processes; may answer later, and from any thread. */
public interface Handler {
    void handle(Caller.Call call, Consumer<Caller.Answer> reply);
}

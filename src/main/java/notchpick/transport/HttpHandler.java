package notchpick.transport;

import java.util.function.Consumer;

/** Serves requests of other processes; may answer later, and from any thread. */
public interface HttpHandler {
    void handle(HttpCaller.Request call, Consumer<HttpCaller.Response> reply);
}

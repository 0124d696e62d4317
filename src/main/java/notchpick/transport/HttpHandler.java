package notchpick.transport;

import java.util.function.Consumer;

/** Serves HTTP requests of other processes. */
public interface HttpHandler {
    /**
     * Handles one request, on a thread that must not be blocked.
     *
     * @param reply accepts the response exactly once, immediately or later, from any thread
     */
    void handle(HttpCaller.Request request, Consumer<HttpCaller.Response> reply);
}

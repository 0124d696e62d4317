package notchpick.transport;

import java.util.function.Consumer;

/** Sends HTTP requests to other processes. */
public interface HttpCaller {
    /**
     * Sends a request, and calls back exactly once, from any thread: with {@link Response#UNANSWERED} if no response came
     * in time, with {@link Response#CONNECTION_REFUSED} if nobody listens, so that the request was surely not sent.
     */
    void call(Request request, long timeoutMs, Consumer<Response> callback);

    /**
     * A request.
     *
     * @param target {@code address:port}; null in a request that was received
     * @param path with the query
     * @param body null if there is none
     */
    record Request(String target, String method, String path, byte[] body) {}

    /**
     * A response, or that there was none.
     *
     * @param status the HTTP status; 0 or less if there was no response
     * @param retryAfterS after how many seconds the client should come again; 0 says nothing of it
     * @param closesConnection whether the server closes the connection after it
     */
    record Response(int status, byte[] body, int retryAfterS, boolean closesConnection) {
        private static final byte[] NO_BODY = {};

        /** Whether the request took effect is unknown. */
        public static final Response UNANSWERED = empty(0);
        /** The request was surely not sent. */
        public static final Response CONNECTION_REFUSED = empty(-1);

        public static Response of(int status, byte[] body) {
            return new Response(status, body, 0, false);
        }

        /** A response without body. */
        public static Response empty(int status) {
            return of(status, NO_BODY);
        }

        /** A response that asks the client to come again after so many seconds. */
        public static Response retryAfter(int status, byte[] body, int retryAfterS) {
            return new Response(status, body, retryAfterS, false);
        }

        /** The same response to a client that should go to another server: the connection is closed after it. */
        public Response closingConnection() {
            return new Response(status, body, retryAfterS, true);
        }

        /**
         * Whether the connection was refused, so that the request was surely not sent. By the status alone: a record's
         * equals is made when it is first used, which would delay the start.
         */
        public boolean isConnectionRefused() {
            return status == CONNECTION_REFUSED.status;
        }

        /** Whether there was no response of any kind. */
        public boolean isUnanswered() {
            return status <= 0;
        }
    }
}

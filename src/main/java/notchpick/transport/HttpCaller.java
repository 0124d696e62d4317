package notchpick.transport;

import java.util.function.Consumer;

/** Sends HTTP requests to other processes. */
public interface HttpCaller {
    /**
     * Sends a request, and calls back exactly once, from any thread: with {@link Response#UNANSWERED} if no response
     * arrives in time, or with {@link Response#CONNECTION_REFUSED} if no process listens at the target, so that the
     * request was certainly not sent.
     */
    void call(Request request, long timeoutMs, Consumer<Response> callback);

    /**
     * An HTTP request, to be sent or received.
     *
     * @param target {@code address:port}; null in a request that was received
     * @param path the path with the query
     * @param body null if there is none
     */
    record Request(String target, String method, String path, byte[] body) {}

    /**
     * An HTTP response, or the reason why there was none.
     *
     * @param status the HTTP status code; 0 or less if there was no response
     * @param retryAfterS the number of seconds after which the client should retry; 0 if not specified
     * @param closesConnection whether the server closes the connection after sending the response
     */
    record Response(int status, byte[] body, int retryAfterS, boolean closesConnection) {
        private static final byte[] NO_BODY = {};

        /** There was no response; whether the request took effect is unknown. */
        public static final Response UNANSWERED = empty(0);
        /** The connection was refused, so the request was certainly not sent. */
        public static final Response CONNECTION_REFUSED = empty(-1);

        public static Response of(int status, byte[] body) {
            return new Response(status, body, 0, false);
        }

        /** A response with an empty body. */
        public static Response empty(int status) {
            return of(status, NO_BODY);
        }

        /** A response that asks the client to retry after this many seconds. */
        public static Response retryAfter(int status, byte[] body, int retryAfterS) {
            return new Response(status, body, retryAfterS, false);
        }

        /** Returns a copy after which the connection is closed, so that the client can connect to another server. */
        public Response closingConnection() {
            return new Response(status, body, retryAfterS, true);
        }

        /**
         * Whether the connection was refused, so that the request was certainly not sent. Compares only the status: a
         * record's {@code equals} is generated on first use, which would delay the start of the process.
         */
        public boolean isConnectionRefused() {
            return status == CONNECTION_REFUSED.status;
        }

        /** Whether there was no response; also true if the connection was refused. */
        public boolean isUnanswered() {
            return status <= 0;
        }
    }
}

package notchpick.transport;

import java.util.function.Consumer;

/** Calls other processes over HTTP. */
public interface HttpCaller {
    /**
     * Calls back exactly once: with {@link Response#NONE} when no answer came in time, with {@link Response#UNSENT}
     * when the connection was refused, so that the request surely has not been sent.
     */
    void call(Request call, long timeoutMs, Consumer<Response> then);

    /** A request; target is {@code address:port}, path includes the query. */
    record Request(String target, String method, String path, byte[] body) {}

    /**
     * A response; a status of 0 or less stands for none.
     *
     * @param isLast whether the server ends the connection with it
     */
    record Response(int status, byte[] body, int retryAfterS, boolean isLast) {
        public static final Response NONE = new Response(0, new byte[0]);
        public static final Response UNSENT = new Response(-1, new byte[0]);

        public Response(int status, byte[] body) {
            this(status, body, 0);
        }

        public Response(int status, byte[] body, int retryAfterS) {
            this(status, body, retryAfterS, false);
        }

        /**
         * Whether the request surely has not been sent. Not by comparing with {@link #UNSENT}: what compares records
         * is made when it is first used, which takes a tenth of the start.
         */
        public boolean isUnsent() {
            return status == UNSENT.status;
        }

        /** The same to somebody who will go elsewhere: the connection ends with it. */
        public Response last() {
            return new Response(status, body, retryAfterS, true);
        }

        /** Whether there was no answer of any kind. */
        public boolean isNone() {
            return status <= 0;
        }
    }
}

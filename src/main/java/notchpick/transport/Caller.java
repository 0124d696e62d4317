package notchpick.transport;

import java.util.function.Consumer;

/** Calls other processes over HTTP. */
public interface Caller {
    /** Calls back exactly once, with {@link Answer#NONE} when no answer came in time. */
    void call(Call call, long timeoutMs, Consumer<Answer> then);

    /** A request; target is {@code address:port}, path includes the query. */
    record Call(String target, String method, String path, byte[] body) {}

    /** A response; status 0 stands for none. */
    record Answer(int status, byte[] body, int retryAfterS) {
        public static final Answer NONE = new Answer(0, new byte[0], 0);

        public Answer(int status, byte[] body) {
            this(status, body, 0);
        }
    }
}

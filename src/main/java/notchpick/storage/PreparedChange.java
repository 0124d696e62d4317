package notchpick.storage;

import java.util.List;

/** The writes of a change, which become durable together in one transaction. */
public record PreparedChange(List<KeyWrite> writes, Preconditions preconditions, Listener listener) {
    /** Is notified of the outcome of a change. */
    @FunctionalInterface
    public interface Listener {
        /** The change is durable. */
        void committed();

        /** A key did not have the exact version required; the change was not made and is not retried. */
        default void conflicted() {}

        /** The state store rejected the change as invalid; it is prepared again and retried later. */
        default void rejected() {}
    }

    /** Creates a change that depends only on the keys that it writes. */
    public PreparedChange(List<KeyWrite> writes, Listener listener) {
        this(writes, Preconditions.NONE, listener);
    }

    int maxBytes() {
        return writes.stream().mapToInt(KeyWrite::maxBytes).sum();
    }
}

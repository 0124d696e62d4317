package notchpick.storage;

import java.util.List;

/** The writes of a change, all of which become durable in one transaction. */
public record PreparedChange(List<KeyWrite> writes, Preconditions preconditions, Listener listener) {
    /** Is notified of the outcome of a change. */
    @FunctionalInterface
    public interface Listener {
        /** The change is durable. */
        void committed();

        /** A key that must have a certain version has another: the change is not made, and not tried again. */
        default void conflicted() {}

        /** The state store does not accept the change as it is; it is tried again later, prepared anew. */
        default void rejected() {}
    }

    /** A change that depends on nothing but what it writes. */
    public PreparedChange(List<KeyWrite> writes, Listener listener) {
        this(writes, Preconditions.NONE, listener);
    }

    int maxBytes() {
        return writes.stream().mapToInt(KeyWrite::maxBytes).sum();
    }
}

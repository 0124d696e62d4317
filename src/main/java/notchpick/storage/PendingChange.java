package notchpick.storage;

import java.util.Optional;

/** A change that waits for its transaction. */
@FunctionalInterface
public interface PendingChange {
    /**
     * Prepares the writes when the transaction is put together, so that they hold the newest state; may be called again
     * for the next transaction. Empty if there is nothing to write any more.
     */
    Optional<PreparedChange> prepare();
}

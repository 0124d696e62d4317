package notchpick.storage;

import java.util.Optional;

/** A change that is waiting to be sent in a transaction. */
@FunctionalInterface
public interface PendingChange {
    /**
     * Prepares the writes while the transaction is being assembled, so that they hold the latest state. Called again if
     * the change has to be repeated in a later transaction. Returns empty if there is nothing left to write.
     */
    Optional<PreparedChange> prepare();
}

package notchpick.storage;

import java.util.List;
import java.util.Map;

/**
 * Keys that a change does not write, and the versions that they must have for it to be made.
 *
 * @param listener is notified which of them have another version, before the change is tried again
 */
public record Preconditions(Map<String, Long> versions, ConflictListener listener) {
    /** A change that depends on nothing but what it writes. */
    public static final Preconditions NONE = new Preconditions(Map.of(), keys -> {});

    /** Is notified of preconditions that did not hold. */
    @FunctionalInterface
    public interface ConflictListener {
        /** These keys have another version than was required. */
        void preconditionsFailed(List<String> keys);
    }

    /** Tells the listener which of these keys are preconditions. */
    void reportConflicts(List<String> conflictingKeys) {
        List<String> failed =
                conflictingKeys.stream().filter(versions::containsKey).toList();
        if (!failed.isEmpty()) {
            listener.preconditionsFailed(failed);
        }
    }
}

package notchpick.storage;

import java.util.List;
import java.util.Map;

/**
 * The versions that keys must have for a change to be made, although the change does not write these keys.
 *
 * @param listener is notified of the keys that have another version, before the change is retried
 */
public record Preconditions(Map<String, Long> versions, ConflictListener listener) {
    /** No preconditions: the change depends only on the keys that it writes. */
    public static final Preconditions NONE = new Preconditions(Map.of(), keys -> {});

    /** Is notified of failed preconditions. */
    @FunctionalInterface
    public interface ConflictListener {
        /** These keys have another version than was required. */
        void preconditionsFailed(List<String> keys);
    }

    /** Passes those of the conflicting keys that are preconditions to the listener, if there are any. */
    void reportConflicts(List<String> conflictingKeys) {
        List<String> failed =
                conflictingKeys.stream().filter(versions::containsKey).toList();
        if (!failed.isEmpty()) {
            listener.preconditionsFailed(failed);
        }
    }
}

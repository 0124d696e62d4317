package notchpick.storage;

import java.util.HashMap;
import java.util.Map;

/** The versions of keys that the writer has seen last, in a read or as the result of its own transaction. */
final class KeyVersions {
    /** The state store's version of a key that does not exist. */
    private static final long MISSING = 0;

    private final Map<String, Long> versions = new HashMap<>();

    void seen(String key, long version) {
        versions.put(key, version);
    }

    void seenMissing(String key) {
        versions.remove(key);
    }

    /** The write has become durable with this version. */
    void committed(KeyWrite write, long version) {
        if (write.isDelete()) {
            seenMissing(write.key());
        } else {
            seen(write.key(), version);
        }
    }

    /** The version that the key of a conditional write must have. */
    long expected(KeyWrite write) {
        return write.precondition() == KeyWrite.Precondition.VERSION
                ? write.version()
                : versions.getOrDefault(write.key(), MISSING);
    }
}

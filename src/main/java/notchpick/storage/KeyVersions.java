package notchpick.storage;

import java.util.HashMap;
import java.util.Map;

/** The latest known version of each key, from a read or from a transaction of the writer itself. */
final class KeyVersions {
    /** The version by which the state store denotes a key that does not exist. */
    private static final long MISSING = 0;

    private final Map<String, Long> versions = new HashMap<>();

    void setLatest(String key, long version) {
        versions.put(key, version);
    }

    void setMissing(String key) {
        versions.remove(key);
    }

    /** Records that the write has become durable with this version. */
    void setCommitted(KeyWrite write, long version) {
        if (write.isDelete()) {
            setMissing(write.key());
        } else {
            setLatest(write.key(), version);
        }
    }

    /** Returns the version that the key of a conditional write must have. */
    long expected(KeyWrite write) {
        return write.precondition() == KeyWrite.Precondition.VERSION
                ? write.version()
                : versions.getOrDefault(write.key(), MISSING);
    }
}

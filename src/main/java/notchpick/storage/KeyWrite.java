package notchpick.storage;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A write of one key: a new value or a deletion.
 *
 * @param value null deletes the key
 * @param precondition the condition on the key's version under which the write is made
 * @param version the required version if the precondition is {@link Precondition#VERSION}, otherwise ignored
 * @param maxBytes an upper bound of the bytes that the value takes
 */
public record KeyWrite(String key, JsonNode value, Precondition precondition, long version, int maxBytes) {
    private static final int DEFAULT_MAX_BYTES = 1 << 10;

    /** The condition on the key's version. */
    public enum Precondition {
        /** The write is made whatever the version. */
        NONE,
        /** The latest version that the writer knows. On a conflict the key is read again and the change is repeated. */
        LAST_SEEN,
        /** The version given with the write. On a conflict the change is abandoned. */
        VERSION
    }

    /** Creates a write of a value, on condition that the key still has the latest version that the writer knows. */
    public static KeyWrite put(String key, JsonNode value) {
        return new KeyWrite(key, value, Precondition.LAST_SEEN, 0, DEFAULT_MAX_BYTES);
    }

    /** Creates a deletion without a condition on the version. */
    public static KeyWrite delete(String key) {
        return new KeyWrite(key, null, Precondition.NONE, 0, 0);
    }

    /** Returns this write with the condition that the key has this version; otherwise the change is abandoned. */
    public KeyWrite ifVersion(long expected) {
        return new KeyWrite(key, value, Precondition.VERSION, expected, maxBytes);
    }

    /** Returns this write without a condition on the version. */
    public KeyWrite unconditional() {
        return new KeyWrite(key, value, Precondition.NONE, 0, maxBytes);
    }

    /** Returns this write with another upper bound of the bytes of its value. */
    public KeyWrite withMaxBytes(int bytes) {
        return new KeyWrite(key, value, precondition, version, bytes);
    }

    boolean isDelete() {
        return value == null;
    }
}

package notchpick.storage;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The write of one key.
 *
 * @param value null deletes the key
 * @param precondition what the version of the key must be for the write to be made
 * @param version the version, where the precondition is {@link Precondition#VERSION}
 * @param maxBytes an upper bound of the bytes that the value takes
 */
public record KeyWrite(String key, JsonNode value, Precondition precondition, long version, int maxBytes) {
    private static final int DEFAULT_MAX_BYTES = 1 << 10;

    /** What must hold of the key's version. */
    public enum Precondition {
        /** Any version will do. */
        NONE,
        /** The version that the writer has seen last. If it is outdated, it is read anew and the change repeated. */
        LAST_SEEN,
        /** A certain version. If the key has another, the change is given up. */
        VERSION
    }

    /** Writes a value where the version is the one seen last. */
    public static KeyWrite put(String key, JsonNode value) {
        return new KeyWrite(key, value, Precondition.LAST_SEEN, 0, DEFAULT_MAX_BYTES);
    }

    /** Deletes a key, whatever its version. */
    public static KeyWrite delete(String key) {
        return new KeyWrite(key, null, Precondition.NONE, 0, 0);
    }

    /** The same write, given up if the key has another version than this. */
    public KeyWrite ifVersion(long expected) {
        return new KeyWrite(key, value, Precondition.VERSION, expected, maxBytes);
    }

    /** The same write, whatever the version. */
    public KeyWrite unconditional() {
        return new KeyWrite(key, value, Precondition.NONE, 0, maxBytes);
    }

    /** The same write of a value that may be this long. */
    public KeyWrite withMaxBytes(int bytes) {
        return new KeyWrite(key, value, precondition, version, bytes);
    }

    boolean isDelete() {
        return value == null;
    }
}

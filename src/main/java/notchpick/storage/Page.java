package notchpick.storage;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * One value of the state store and the records that are packed into it.
 *
 * @param <R> the records
 */
final class Page<R> {
    private final String key;
    private final Set<R> records = new LinkedHashSet<>();
    /** Records that have moved to another page: until they are durable there, they must not vanish here. */
    private final Set<R> movesInProgress = new HashSet<>();

    private int maxBytes;
    private int bytes;
    private int obsoleteBytes;
    private long modifications;
    private long writtenModifications;

    /** @param maxBytes how many bytes the records of the page may take */
    Page(String key, int maxBytes) {
        this.key = key;
        this.maxBytes = maxBytes;
    }

    String key() {
        return key;
    }

    Collection<R> records() {
        return records;
    }

    /** An upper bound of the bytes that the records take. */
    int bytes() {
        return bytes;
    }

    /** The bytes that the durable value holds of records that are not on the page any more. */
    int obsoleteBytes() {
        return obsoleteBytes;
    }

    /** How many modifications the page has seen. */
    long modifications() {
        return modifications;
    }

    void setMaxBytes(int most) {
        maxBytes = most;
    }

    /** Adds a record. */
    void add(R record, int size) {
        records.add(record);
        bytes += size;
    }

    /** Removes a record; the durable value holds it until it is written anew. */
    void remove(R record, int size) {
        records.remove(record);
        bytes -= size;
        obsoleteBytes += size;
    }

    /** The durable value holds a record that this page does not. */
    void addObsolete(int size) {
        obsoleteBytes += size;
    }

    void moveBegan(R record) {
        movesInProgress.add(record);
    }

    void moveEnded(R record) {
        movesInProgress.remove(record);
    }

    /** The records have changed, or shall be written anew. */
    void modified() {
        modifications++;
    }

    /** A write of the records as they are now has been prepared. */
    void writePrepared() {
        obsoleteBytes = 0;
    }

    /** A write has become durable that was prepared after so many modifications. */
    void written(long modificationsIncluded) {
        writtenModifications = modificationsIncluded;
    }

    boolean isOversized() {
        return bytes > maxBytes;
    }

    /** Whether the page has to be written, and may be. */
    boolean isWriteDue() {
        return modifications > writtenModifications && !isOversized() && movesInProgress.isEmpty();
    }

    boolean hasRoomFor(int size) {
        return movesInProgress.isEmpty() && bytes + size <= maxBytes;
    }

    boolean mayBeRewritten() {
        return hasRoomFor(0);
    }
}

package notchpick.storage;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * One value of the state store and the records that are packed into it.
 *
 * @param <R> the type of the records
 */
final class Page<R> {
    private final String key;
    private final Set<R> records = new LinkedHashSet<>();
    /**
     * Records that are moving to another page. Until they are durable there, this page is not rewritten, so that its
     * durable value still holds them.
     */
    private final Set<R> movesInProgress = new HashSet<>();

    private int maxBytes;
    private int bytes;
    private int obsoleteBytes;
    private long modifications;
    private long writtenModifications;

    /** @param maxBytes the maximum number of bytes that the records of the page may take */
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

    /** Returns an upper bound of the bytes that the records take. */
    int bytes() {
        return bytes;
    }

    /** Returns the bytes in the durable value that belong to records no longer on the page. */
    int obsoleteBytes() {
        return obsoleteBytes;
    }

    /** Returns the number of modifications so far. */
    long modifications() {
        return modifications;
    }

    void setMaxBytes(int newMaxBytes) {
        maxBytes = newMaxBytes;
    }

    /**
     * Adds a record.
     *
     * @param size an upper bound of the bytes that the record adds to the value
     */
    void add(R record, int size) {
        records.add(record);
        bytes += size;
    }

    /** Removes a record; the durable value still holds it until the next write. */
    void remove(R record, int size) {
        records.remove(record);
        bytes -= size;
        obsoleteBytes += size;
    }

    /** Counts a record that is in the durable value but not on this page. */
    void addObsolete(int size) {
        obsoleteBytes += size;
    }

    void beginMove(R record) {
        movesInProgress.add(record);
    }

    void endMove(R record) {
        movesInProgress.remove(record);
    }

    /** Marks the page as modified, so that it is written again. */
    void markModified() {
        modifications++;
    }

    /** Marks that a write of the current records has been prepared. */
    void markWritePrepared() {
        obsoleteBytes = 0;
    }

    /**
     * Marks a write as durable.
     *
     * @param modificationsIncluded the value of {@link #modifications} when the write was prepared
     */
    void markWritten(long modificationsIncluded) {
        writtenModifications = modificationsIncluded;
    }

    boolean isOversized() {
        return bytes > maxBytes;
    }

    /** Whether the page has unwritten modifications and may be written. */
    boolean isWriteDue() {
        return modifications > writtenModifications && !isOversized() && movesInProgress.isEmpty();
    }

    boolean hasRoomFor(int size) {
        return movesInProgress.isEmpty() && bytes + size <= maxBytes;
    }

    boolean canBeRewritten() {
        return hasRoomFor(0);
    }
}

package notchpick.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToIntFunction;

/**
 * Packs many small records into a few values of the state store, called pages, so that one write covers many records:
 * the store's write rate is far below the rate at which tasks start and end.
 *
 * <p>A removed record stays in the durable value until the page's next write. Until then a reader may find records that
 * have been removed, but never misses one that still exists. The same is true of an oversized page, which was written
 * by another version or before the limit was lowered: it is not rewritten until enough of its records have been removed
 * or are durable on other pages.
 *
 * @param <R> the type of the records
 */
public final class PackedRecords<R> {
    /**
     * Defines how records are encoded.
     *
     * @param maxBytes an upper bound of the bytes that one record adds to a value
     * @param encode encodes the records of one page
     */
    public record Encoding<R>(ToIntFunction<R> maxBytes, Function<Collection<R>, JsonNode> encode) {}

    /** How the page of a new record is selected. */
    public enum Packing {
        /** The page with the most free bytes; for records that are written once, many at a time. */
        WORST_FIT,
        /** The fullest page that has enough free bytes; for records that are written repeatedly. */
        BEST_FIT
    }

    /** Is notified of records that have become durable. */
    @FunctionalInterface
    public interface Listener<R> {
        /** The state store holds these records in the state that they had when the write was prepared. */
        void recorded(List<R> records);
    }

    /** Upper bound of the bytes that surround the records in a value. */
    private static final int MAX_OVERHEAD_BYTES = 64;
    /** Upper bound of the bytes of the pages in one transaction; leaves space for conditions and keys. */
    private static final int MAX_TRANSACTION_BYTES = 48 << 10;

    private final FencedWriter writer;
    private final String prefix;
    private final Encoding<R> encoding;
    private final Packing packing;
    private final int maxPageBytes;
    private final int maxWrites;
    private final Listener<R> listener;
    private Function<List<R>, Preconditions> preconditions = records -> Preconditions.NONE;
    private final Map<Integer, Page<R>> pages = new TreeMap<>();
    private final Map<R, Page<R>> pageOf = new HashMap<>();
    /** For each record that is not durable on its page yet: the other pages whose durable values hold it. */
    private final Map<R, Set<Page<R>>> formerPages = new HashMap<>();
    /** After a rejected write: how many of the next transactions hold one page each, to find the rejected one. */
    private int isolatedWrites;

    /**
     * @param prefix the prefix of the keys; the page number follows it
     * @param maxValueBytes the maximum number of bytes of one value
     * @param maxWrites the maximum number of keys that one transaction may write
     */
    public PackedRecords(
            FencedWriter writer,
            String prefix,
            Encoding<R> encoding,
            Packing packing,
            int maxValueBytes,
            int maxWrites,
            Listener<R> listener) {
        this.writer = writer;
        this.prefix = prefix;
        this.encoding = encoding;
        this.packing = packing;
        this.maxPageBytes = Math.min(maxValueBytes, MAX_TRANSACTION_BYTES) - MAX_OVERHEAD_BYTES;
        // The other half of a transaction is left to other changes.
        this.maxWrites = Math.max(1, maxWrites / 2);
        this.listener = listener;
    }

    /**
     * Makes all later writes conditional.
     *
     * @param ofRecords returns the preconditions of the records in a write; called when the write is prepared
     */
    public void setPreconditions(Function<List<R>, Preconditions> ofRecords) {
        preconditions = ofRecords;
    }

    /** Adds the page of a value that was read, with those of its records that are still needed. */
    public void load(String key, Collection<R> records) {
        int number = Integer.parseInt(key.substring(prefix.length()));
        Page<R> page = pages.computeIfAbsent(number, n -> new Page<>(key, maxPageBytes));
        for (R record : records) {
            int bytes = bytes(record);
            Page<R> other = pageOf.putIfAbsent(record, page);
            if (other == null) {
                page.add(record, bytes);
            } else if (other != page) {
                // Either value may hold the newer state. The record is written again, and this page keeps it in its
                // durable value until then.
                page.addObsolete(bytes);
                beginMove(record, page);
                save(record);
            }
        }
    }

    /** Schedules a write of the record, in the state that it has when the write is prepared. */
    public void save(R record) {
        Page<R> page = pageOf.get(record);
        if (page != null && page.isOversized()) {
            page.remove(record, bytes(record));
            beginMove(record, page);
            page = null;
        }
        if (page == null) {
            page = selectPage(bytes(record));
            page.add(record, bytes(record));
            pageOf.put(record, page);
        }
        page.markModified();
        requestWrite();
    }

    /** Removes a record; its space in the durable value is freed by the next write of its page. */
    public void remove(R record) {
        Page<R> page = pageOf.remove(record);
        if (page != null) {
            page.remove(record, bytes(record));
        }
        endMove(record);
    }

    /** Rewrites the page whose durable value holds the most bytes of removed records. */
    public void compact() {
        Page<R> selected = null;
        for (Page<R> page : pages.values()) {
            if (page.obsoleteBytes() > 0
                    && page.canBeRewritten()
                    && (selected == null || page.obsoleteBytes() > selected.obsoleteBytes())) {
                selected = page;
            }
        }
        if (selected != null) {
            selected.markModified();
            requestWrite();
        }
    }

    private int bytes(R record) {
        return encoding.maxBytes().applyAsInt(record);
    }

    private void beginMove(R record, Page<R> from) {
        from.beginMove(record);
        formerPages.computeIfAbsent(record, r -> new HashSet<>()).add(from);
    }

    private void endMove(R record) {
        Set<Page<R>> former = formerPages.remove(record);
        if (former != null) {
            former.forEach(page -> page.endMove(record));
        }
    }

    private Page<R> selectPage(int bytes) {
        Page<R> best = null;
        for (Page<R> page : pages.values()) {
            if (page.hasRoomFor(bytes) && (best == null || isBetter(page, best))) {
                best = page;
            }
        }
        boolean isHalfFull = best != null && best.bytes() > maxPageBytes / 2;
        if (best == null || (packing == Packing.WORST_FIT && !best.isWriteDue() && isHalfFull)) {
            return addPage();
        }
        return best;
    }

    private boolean isBetter(Page<R> page, Page<R> than) {
        if (packing == Packing.BEST_FIT) {
            return page.bytes() > than.bytes();
        }
        // A page that is due to be written anyway takes more records without an additional write.
        return page.isWriteDue() != than.isWriteDue() ? page.isWriteDue() : page.bytes() < than.bytes();
    }

    private Page<R> addPage() {
        int number = 0;
        while (pages.containsKey(number)) {
            number++;
        }
        Page<R> page = new Page<>(prefix + number, maxPageBytes);
        pages.put(number, page);
        return page;
    }

    private void requestWrite() {
        writer.write(prefix, this::prepare);
    }

    private Optional<PreparedChange> prepare() {
        List<KeyWrite> writes = new ArrayList<>();
        PageWrite write = new PageWrite();
        int bytes = 0;
        for (Page<R> page : pages.values()) {
            if (!page.isWriteDue()) {
                continue;
            }
            if (!writes.isEmpty()
                    && (isolatedWrites > 0
                            || writes.size() == maxWrites
                            || bytes + page.bytes() > MAX_TRANSACTION_BYTES)) {
                break;
            }
            bytes += page.bytes();
            writes.add(KeyWrite.put(page.key(), encoding.encode().apply(page.records()))
                    .withMaxBytes(page.bytes() + MAX_OVERHEAD_BYTES));
            write.add(page);
        }
        if (writes.isEmpty()) {
            return Optional.empty();
        }
        isolatedWrites = Math.max(0, isolatedWrites - 1);
        return Optional.of(new PreparedChange(writes, preconditions.apply(write.records), write));
    }

    /** The pages of one transaction, with the records that they held when it was prepared. */
    private final class PageWrite implements PreparedChange.Listener {
        private final Map<Page<R>, Long> modifications = new LinkedHashMap<>();
        private final List<R> records = new ArrayList<>();

        void add(Page<R> page) {
            records.addAll(page.records());
            modifications.put(page, page.modifications());
            page.markWritePrepared();
        }

        @Override
        public void committed() {
            modifications.forEach(Page::markWritten);
            records.forEach(PackedRecords.this::endMove);
            listener.recorded(records);
            if (pages.values().stream().anyMatch(Page::isWriteDue)) {
                requestWrite();
            }
        }

        @Override
        public void rejected() {
            if (modifications.size() == 1) {
                splitRejected(modifications.keySet().iterator().next());
            } else {
                isolatedWrites = modifications.size();
                requestWrite();
            }
        }
    }

    /**
     * Moves half of the page's records to other pages. The page was rejected because the state store accepts only
     * smaller values than the settings say.
     */
    private void splitRejected(Page<R> page) {
        List<R> records = new ArrayList<>(page.records());
        // Saving a record moves it off an oversized page.
        page.setMaxBytes(0);
        for (R record : records.subList((records.size() + 1) / 2, records.size())) {
            save(record);
        }
        // A record that is rejected even when it is alone on its page is not retried.
        page.setMaxBytes(records.size() > 1 ? page.bytes() : 0);
    }
}

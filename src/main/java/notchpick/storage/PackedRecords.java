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
 * Packs many small records into few values of the state store, the pages, so that one write covers many records: the
 * service's write rate is far below the rate at which tasks start and end.
 *
 * <p>A record that is removed leaves its value at the page's next write; until then a reader finds more than there is,
 * never less. The same holds of an oversized page, which another version wrote, or which was written before the limit
 * fell: it is not rewritten until enough of its records are removed, or durable on other pages.
 *
 * @param <R> the records
 */
public final class PackedRecords<R> {
    /**
     * The durable form of records.
     *
     * @param maxBytes an upper bound of the bytes that one record adds to a value
     * @param encode encodes the records of one page
     */
    public record Encoding<R>(ToIntFunction<R> maxBytes, Function<Collection<R>, JsonNode> encode) {}

    /** How the page of a new record is selected. */
    public enum Packing {
        /** The page with the most free bytes: for records that are written once, many at a time. */
        WORST_FIT,
        /** The fullest page that has enough free bytes: for records that are written again and again. */
        BEST_FIT
    }

    /** Is notified of records that have become durable. */
    @FunctionalInterface
    public interface Listener<R> {
        /** The state store has these records, as they were when the write was prepared. */
        void recorded(List<R> records);
    }

    /** What surrounds the records in a value takes at most this many bytes. */
    private static final int FRAME_BYTES = 64;
    /** The pages of one transaction take at most this many bytes; conditions and keys need some of the rest. */
    private static final int TRANSACTION_BYTES = 48 << 10;

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
    /** Of records that are not durable on their page yet: the pages whose values hold them too. */
    private final Map<R, Set<Page<R>>> formerPages = new HashMap<>();
    /** After a rejected write: the next transactions, of this number, hold one page each, to find the one at fault. */
    private int isolatedWrites;

    /**
     * @param prefix of the keys; the number of the page follows
     * @param maxValueBytes the most that one value may take
     * @param maxWrites the most keys that one transaction may write
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
        this.maxPageBytes = Math.min(maxValueBytes, TRANSACTION_BYTES) - FRAME_BYTES;
        // The other half of a transaction is for other changes.
        this.maxWrites = Math.max(1, maxWrites / 2);
        this.listener = listener;
    }

    /** From now on, records are written only if the preconditions hold that they have when the write is prepared. */
    public void setPreconditions(Function<List<R>, Preconditions> ofRecords) {
        preconditions = ofRecords;
    }

    /** Takes in a value that was read, with those of its records that still matter. */
    public void load(String key, Collection<R> records) {
        int number = Integer.parseInt(key.substring(prefix.length()));
        Page<R> page = pages.computeIfAbsent(number, n -> new Page<>(key, maxPageBytes));
        for (R record : records) {
            int bytes = bytes(record);
            Page<R> other = pageOf.putIfAbsent(record, page);
            if (other == null) {
                page.add(record, bytes);
            } else if (other != page) {
                // Either value may hold the newer state.
                page.addObsolete(bytes);
                beginMove(record, page);
                save(record);
            }
        }
    }

    /** Makes the record durable, in the state that it has when the write is prepared. */
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
        page.modified();
        requestWrite();
    }

    /** Removes a record; the space that it takes is regained when its page is written next. */
    public void remove(R record) {
        Page<R> page = pageOf.remove(record);
        if (page != null) {
            page.remove(record, bytes(record));
        }
        endMove(record);
    }

    /** Rewrites the page that holds most of what has been removed. */
    public void compact() {
        Page<R> selected = null;
        for (Page<R> page : pages.values()) {
            if (page.obsoleteBytes() > 0
                    && page.mayBeRewritten()
                    && (selected == null || page.obsoleteBytes() > selected.obsoleteBytes())) {
                selected = page;
            }
        }
        if (selected != null) {
            selected.modified();
            requestWrite();
        }
    }

    private int bytes(R record) {
        return encoding.maxBytes().applyAsInt(record);
    }

    private void beginMove(R record, Page<R> from) {
        from.moveBegan(record);
        formerPages.computeIfAbsent(record, r -> new HashSet<>()).add(from);
    }

    private void endMove(R record) {
        Set<Page<R>> former = formerPages.remove(record);
        if (former != null) {
            former.forEach(page -> page.moveEnded(record));
        }
    }

    // ---- bin packing ---------------------------------------------------------------------------

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
        // A page that is written anyway takes more records at no cost.
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

    // ---- writing -------------------------------------------------------------------------------

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
                    && (isolatedWrites > 0 || writes.size() == maxWrites || bytes + page.bytes() > TRANSACTION_BYTES)) {
                break;
            }
            bytes += page.bytes();
            writes.add(KeyWrite.put(page.key(), encoding.encode().apply(page.records()))
                    .withMaxBytes(page.bytes() + FRAME_BYTES));
            write.add(page);
        }
        if (writes.isEmpty()) {
            return Optional.empty();
        }
        isolatedWrites = Math.max(0, isolatedWrites - 1);
        return Optional.of(new PreparedChange(writes, preconditions.apply(write.records), write));
    }

    /** The pages of one transaction, with their records as they were when it was prepared. */
    private final class PageWrite implements PreparedChange.Listener {
        private final Map<Page<R>, Long> modifications = new LinkedHashMap<>();
        private final List<R> records = new ArrayList<>();

        void add(Page<R> page) {
            records.addAll(page.records());
            modifications.put(page, page.modifications());
            page.writePrepared();
        }

        @Override
        public void committed() {
            modifications.forEach(Page::written);
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

    /** The state store accepts less than the settings say: half of the page's records move to other pages. */
    private void splitRejected(Page<R> page) {
        List<R> records = new ArrayList<>(page.records());
        // Oversized, the page lets its records go.
        page.setMaxBytes(0);
        for (R record : records.subList((records.size() + 1) / 2, records.size())) {
            save(record);
        }
        // A record that is rejected even by itself is not tried again.
        page.setMaxBytes(records.size() > 1 ? page.bytes() : 0);
    }
}

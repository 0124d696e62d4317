package notchpick.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import notchpick.storage.FencedWriter.Conditions;
import notchpick.storage.FencedWriter.Prepared;
import notchpick.storage.FencedWriter.Write;

/**
 * Many small units that share a few values of the state service, so that one write takes many of them
 * along: the service's write rate is far below the rate at which tasks start and end.
 *
 * <p>A unit that is over leaves its value at the value's next write; until then a reader finds more
 * than there is, never less. The same holds where a value is longer than it may be now, since another version
 * wrote it, or the limit has fallen: it stays as it is until enough of it is over, or stands elsewhere durably.
 */
public final class PackedRecords<U> {
    /**
     * How units are put into a value.
     *
     * @param bytes as many as the unit takes at the most, alone in a value
     */
    public record Form<U>(ToIntFunction<U> bytes, Function<Collection<U>, JsonNode> value) {}

    /** Where a new unit goes. */
    public enum Fill {
        /** To the emptiest value: for units that are written once, many at a time. */
        EMPTIEST,
        /** To the fullest that has room: for units that are written again and again. */
        FULLEST
    }

    /** What surrounds the units in a value takes no more than this. */
    private static final int FRAME_BYTES = 64;
    /** A transaction may hold this much in all; guards and keys need some of it. */
    private static final int TRANSACTION_BYTES = 48 << 10;

    private final FencedWriter writer;
    private final String prefix;
    private final Form<U> form;
    private final Fill fill;
    private final int limit;
    private final int maxWrites;
    private final Consumer<List<U>> durable;
    private Function<List<U>, Conditions> conditions = units -> Conditions.NONE;
    private final Map<Integer, Slot<U>> slots = new TreeMap<>();
    private final Map<U, Slot<U>> slotOf = new HashMap<>();
    /** Values in which a unit stands too that has moved, and is not durable where it is now. */
    private final Map<U, Set<Slot<U>>> leftBehind = new HashMap<>();
    /** So many times only one value goes into a transaction. */
    private int alone;

    private static final class Slot<U> {
        private final String key;
        private final Set<U> units = new LinkedHashSet<>();
        /** Units that have moved away: until they are durable elsewhere they must stand here. */
        private final Set<U> awaited = new HashSet<>();

        private int limit;
        private int bytes;
        private int staleBytes;
        private long changes;
        private long saved;

        Slot(String key, int limit) {
            this.key = key;
            this.limit = limit;
        }

        private boolean isTooLong() {
            return bytes > limit;
        }

        private boolean isDue() {
            return changes > saved && !isTooLong() && awaited.isEmpty();
        }

        private boolean hasRoomFor(int more) {
            return awaited.isEmpty() && bytes + more <= limit;
        }

        private void remove(U unit, int size) {
            units.remove(unit);
            bytes -= size;
            staleBytes += size;
        }
    }

    /**
     * @param valueBytes the most that one value may hold
     * @param maxWrites the most that one transaction may write
     * @param durable hears which units the state service now has, as they were when that write was prepared
     */
    public PackedRecords(
            FencedWriter writer,
            String prefix,
            Form<U> form,
            Fill fill,
            int valueBytes,
            int maxWrites,
            Consumer<List<U>> durable) {
        this.writer = writer;
        this.prefix = prefix;
        this.form = form;
        this.fill = fill;
        this.limit = Math.min(valueBytes, TRANSACTION_BYTES) - FRAME_BYTES;
        // Others shall find room in the same transaction.
        this.maxWrites = Math.max(1, maxWrites / 2);
        this.durable = durable;
    }

    /** From now on units are written only where the conditions hold that they need at that moment. */
    public void writtenOnlyIf(Function<List<U>, Conditions> needed) {
        conditions = needed;
    }

    /** Notes a value that has been read, with those of its units that still matter. */
    public void loaded(String key, Collection<U> units) {
        Slot<U> slot =
                slots.computeIfAbsent(Integer.parseInt(key.substring(prefix.length())), n -> new Slot<>(key, limit));
        for (U unit : units) {
            int bytes = form.bytes().applyAsInt(unit);
            Slot<U> other = slotOf.putIfAbsent(unit, slot);
            if (other == null) {
                slot.units.add(unit);
                slot.bytes += bytes;
            } else if (other != slot) {
                // Its newest state may stand in either.
                slot.staleBytes += bytes;
                awaitElsewhere(unit, slot);
                save(unit);
            }
        }
    }

    /** Writes the unit as soon as may be, as it then is. */
    public void save(U unit) {
        Slot<U> slot = slotOf.get(unit);
        if (slot != null && slot.isTooLong()) {
            slot.remove(unit, form.bytes().applyAsInt(unit));
            awaitElsewhere(unit, slot);
            slot = null;
        }
        if (slot == null) {
            slot = place(unit);
            slotOf.put(unit, slot);
        }
        slot.changes++;
        writer.write(prefix, this::prepare);
    }

    private void awaitElsewhere(U unit, Slot<U> slot) {
        slot.awaited.add(unit);
        leftBehind.computeIfAbsent(unit, u -> new HashSet<>()).add(slot);
    }

    private void awaitNoMore(U unit) {
        Set<Slot<U>> former = leftBehind.remove(unit);
        if (former != null) {
            former.forEach(slot -> slot.awaited.remove(unit));
        }
    }

    /** The unit is over. */
    public void drop(U unit) {
        Slot<U> slot = slotOf.remove(unit);
        if (slot != null) {
            slot.remove(unit, form.bytes().applyAsInt(unit));
        }
        awaitNoMore(unit);
    }

    /** Writes the value anew that holds most of what is over. */
    public void compact() {
        Slot<U> stalest = null;
        for (Slot<U> slot : slots.values()) {
            if (slot.staleBytes > 0
                    && slot.hasRoomFor(0)
                    && (stalest == null || slot.staleBytes > stalest.staleBytes)) {
                stalest = slot;
            }
        }
        if (stalest != null) {
            stalest.changes++;
            writer.write(prefix, this::prepare);
        }
    }

    private Slot<U> place(U unit) {
        int bytes = form.bytes().applyAsInt(unit);
        Slot<U> best = null;
        for (Slot<U> slot : slots.values()) {
            if (slot.hasRoomFor(bytes) && (best == null || isBetter(slot, best))) {
                best = slot;
            }
        }
        if (best == null || fill == Fill.EMPTIEST && !best.isDue() && best.bytes > limit / 2) {
            int number = 0;
            while (slots.containsKey(number)) {
                number++;
            }
            best = new Slot<>(prefix + number, limit);
            slots.put(number, best);
        }
        best.units.add(unit);
        best.bytes += bytes;
        return best;
    }

    private boolean isBetter(Slot<U> slot, Slot<U> than) {
        if (fill == Fill.FULLEST) {
            return slot.bytes > than.bytes;
        }
        // What is to be written anyway takes more units along at no cost.
        return slot.isDue() != than.isDue() ? slot.isDue() : slot.bytes < than.bytes;
    }

    private Prepared prepare() {
        List<Write> writes = new ArrayList<>();
        List<U> units = new ArrayList<>();
        Map<Slot<U>, Long> written = new LinkedHashMap<>();
        int bytes = 0;
        for (Slot<U> slot : slots.values()) {
            if (!slot.isDue()) {
                continue;
            }
            if (!writes.isEmpty()
                    && (alone > 0 || writes.size() == maxWrites || bytes + slot.bytes > TRANSACTION_BYTES)) {
                break;
            }
            bytes += slot.bytes;
            writes.add(Write.put(slot.key, form.value().apply(slot.units)).bytes(slot.bytes + FRAME_BYTES));
            units.addAll(slot.units);
            written.put(slot, slot.changes);
            slot.staleBytes = 0;
        }
        if (writes.isEmpty()) {
            return null;
        }
        alone = Math.max(0, alone - 1);
        return new Prepared(
                writes,
                conditions.apply(units),
                () -> {
                    written.forEach((slot, changes) -> slot.saved = changes);
                    units.forEach(this::awaitNoMore);
                    durable.accept(units);
                    if (slots.values().stream().anyMatch(Slot::isDue)) {
                        writer.write(prefix, this::prepare);
                    }
                },
                () -> {},
                () -> refused(written.keySet()));
    }

    /** One of the values is at fault: each goes alone then. */
    private void refused(Set<Slot<U>> written) {
        if (written.size() == 1) {
            halve(written.iterator().next());
        } else {
            alone = written.size();
            writer.write(prefix, this::prepare);
        }
    }

    /** Whatever the settings say, the service does not take the value: half of it goes elsewhere. */
    private void halve(Slot<U> slot) {
        List<U> units = new ArrayList<>(slot.units);
        slot.limit = 0;
        for (U unit : units.subList((units.size() + 1) / 2, units.size())) {
            save(unit);
        }
        // A unit that is not taken even alone is not tried again.
        slot.limit = units.size() > 1 ? slot.bytes : 0;
    }
}

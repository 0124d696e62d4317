package notchpick.bookkeeping;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import notchpick.bookkeeping.Ledger.Prepared;
import notchpick.bookkeeping.Ledger.Write;

/**
 * Many small units that share a few values of the state service, so that one write takes many of them
 * along: the service's write rate is far below the rate at which tasks start and end.
 *
 * <p>A unit that is over leaves its value at the value's next write; until then a reader finds more
 * than there is, never less.
 */
public final class SharedValues<U> {
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

    private final Ledger ledger;
    private final String prefix;
    private final Form<U> form;
    private final Fill fill;
    private final int limit;
    private final int maxWrites;
    private final Consumer<List<U>> durable;
    private final Map<Integer, Slot<U>> slots = new TreeMap<>();
    private final Map<U, Slot<U>> slotOf = new HashMap<>();

    private static final class Slot<U> {
        private final String key;
        private final Set<U> units = new LinkedHashSet<>();
        private int bytes;
        private int staleBytes;
        private long changes;
        private long saved;

        Slot(String key) {
            this.key = key;
        }

        private boolean isDirty() {
            return changes > saved;
        }
    }

    /**
     * @param valueBytes the most that one value may hold
     * @param maxWrites the most that one transaction may write
     * @param durable hears which units the state service now has, as they were when that write was prepared
     */
    public SharedValues(Ledger ledger, String prefix, Form<U> form, Fill fill, int valueBytes, int maxWrites,
            Consumer<List<U>> durable) {
        this.ledger = ledger;
        this.prefix = prefix;
        this.form = form;
        this.fill = fill;
        this.limit = Math.min(valueBytes, TRANSACTION_BYTES) - FRAME_BYTES;
        // Others shall find room in the same transaction.
        this.maxWrites = Math.max(1, maxWrites / 2);
        this.durable = durable;
    }

    /** Notes a value that has been read, with those of its units that still matter. */
    public void loaded(String key, Collection<U> units) {
        Slot<U> slot = slots.computeIfAbsent(Integer.parseInt(key.substring(prefix.length())), n -> new Slot<>(key));
        units.forEach(unit -> {
            slot.units.add(unit);
            slot.bytes += form.bytes().applyAsInt(unit);
            slotOf.put(unit, slot);
        });
    }

    /** Writes the unit as soon as may be, as it then is. */
    public void save(U unit) {
        Slot<U> slot = slotOf.computeIfAbsent(unit, this::place);
        slot.changes++;
        ledger.write(prefix, this::prepare);
    }

    /** The unit is over. */
    public void drop(U unit) {
        Slot<U> slot = slotOf.remove(unit);
        if (slot != null) {
            int bytes = form.bytes().applyAsInt(unit);
            slot.units.remove(unit);
            slot.bytes -= bytes;
            slot.staleBytes += bytes;
        }
    }

    /** Writes the value anew that holds most of what is over. */
    public void tidy() {
        Slot<U> stalest = null;
        for (Slot<U> slot : slots.values()) {
            if (slot.staleBytes > 0 && (stalest == null || slot.staleBytes > stalest.staleBytes)) {
                stalest = slot;
            }
        }
        if (stalest != null) {
            stalest.changes++;
            ledger.write(prefix, this::prepare);
        }
    }

    private Slot<U> place(U unit) {
        int bytes = form.bytes().applyAsInt(unit);
        Slot<U> best = null;
        for (Slot<U> slot : slots.values()) {
            if (slot.bytes + bytes <= limit && (best == null || isBetter(slot, best))) {
                best = slot;
            }
        }
        if (best == null || fill == Fill.EMPTIEST && !best.isDirty() && best.bytes > limit / 2) {
            int number = 0;
            while (slots.containsKey(number)) {
                number++;
            }
            best = new Slot<>(prefix + number);
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
        return slot.isDirty() != than.isDirty() ? slot.isDirty() : slot.bytes < than.bytes;
    }

    private Prepared prepare() {
        List<Write> writes = new ArrayList<>();
        List<U> units = new ArrayList<>();
        Map<Slot<U>, Long> written = new HashMap<>();
        int bytes = 0;
        for (Slot<U> slot : slots.values()) {
            if (!slot.isDirty()) {
                continue;
            }
            if (!writes.isEmpty() && (writes.size() == maxWrites || bytes + slot.bytes > TRANSACTION_BYTES)) {
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
        return new Prepared(writes, () -> {
            written.forEach((slot, changes) -> slot.saved = changes);
            durable.accept(units);
            if (slots.values().stream().anyMatch(Slot::isDirty)) {
                ledger.write(prefix, this::prepare);
            }
        }, () -> { });
    }
}

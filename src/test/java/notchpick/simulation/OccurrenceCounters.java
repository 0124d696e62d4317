package notchpick.simulation;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.IntSupplier;

/** How often each {@link Occurrence} has come about. */
public final class OccurrenceCounters {
    private final Map<Occurrence, Integer> counts = new EnumMap<>(Occurrence.class);
    private final Map<Occurrence, IntSupplier> countedElsewhere = new EnumMap<>(Occurrence.class);

    /** The occurrence has come about once more. */
    void increment(Occurrence occurrence) {
        counts.merge(occurrence, 1, Integer::sum);
    }

    /** Another component counts this occurrence. */
    void countedBy(Occurrence occurrence, IntSupplier count) {
        countedElsewhere.put(occurrence, count);
    }

    /** How often the occurrence has come about so far. */
    public int count(Occurrence occurrence) {
        IntSupplier elsewhere = countedElsewhere.get(occurrence);
        return elsewhere == null ? counts.getOrDefault(occurrence, 0) : elsewhere.getAsInt();
    }
}

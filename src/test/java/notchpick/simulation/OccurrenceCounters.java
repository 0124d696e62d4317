package notchpick.simulation;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.IntSupplier;

/** Counts how often each {@link Occurrence} has happened. */
public final class OccurrenceCounters {
    private final Map<Occurrence, Integer> counts = new EnumMap<>(Occurrence.class);
    private final Map<Occurrence, IntSupplier> externalCounters = new EnumMap<>(Occurrence.class);

    /** Counts the occurrence once. */
    void increment(Occurrence occurrence) {
        counts.merge(occurrence, 1, Integer::sum);
    }

    /** Delegates this occurrence to the counter of another component, which replaces the count here. */
    void setExternalCounter(Occurrence occurrence, IntSupplier count) {
        externalCounters.put(occurrence, count);
    }

    /** How often the occurrence has happened so far. */
    public int count(Occurrence occurrence) {
        IntSupplier externalCounter = externalCounters.get(occurrence);
        return externalCounter == null ? counts.getOrDefault(occurrence, 0) : externalCounter.getAsInt();
    }
}

package notchpick.simulation;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.IntSupplier;

/** How often each {@link Occurrence} has come about. */
public final class OccurrenceCounters {
    private final Map<Occurrence, Integer> counts = new EnumMap<>(Occurrence.class);
    private final Map<Occurrence, IntSupplier> externalCounters = new EnumMap<>(Occurrence.class);

    /** The occurrence has come about once more. */
    void increment(Occurrence occurrence) {
        counts.merge(occurrence, 1, Integer::sum);
    }

    /** Another component counts this occurrence. */
    void setExternalCounter(Occurrence occurrence, IntSupplier count) {
        externalCounters.put(occurrence, count);
    }

    /** How often the occurrence has come about so far. */
    public int count(Occurrence occurrence) {
        IntSupplier externalCounter = externalCounters.get(occurrence);
        return externalCounter == null ? counts.getOrDefault(occurrence, 0) : externalCounter.getAsInt();
    }
}

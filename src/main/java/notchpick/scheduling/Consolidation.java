package notchpick.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Finds a machine whose tasks can be saved, moved to room elsewhere, and the machine be returned. */
public final class Consolidation {
    private Consolidation() {}

    /** A machine in use. Its tasks are null if they can't be moved now. */
    public record Candidate<S extends Packing.Site>(S site, List<JobSpec> tasks) {}

    /** The emptiest machine that the others can take over, image and all; null if there is none. */
    public static <S extends Packing.Site> S find(Collection<Candidate<S>> machines) {
        List<Candidate<S>> movable = new ArrayList<>();
        for (Candidate<S> machine : machines) {
            if (machine.tasks() != null && !machine.tasks().isEmpty()) {
                movable.add(machine);
            }
        }
        // Ordinary machines cost most, so they go first.
        movable.sort(Comparator.<Candidate<S>>comparingInt(c -> c.site().spot() ? 1 : 0)
                .thenComparingDouble(c -> c.tasks().stream().mapToDouble(task -> task.demand().cores()).sum()));
        for (Candidate<S> candidate : movable) {
            if (fitsElsewhere(candidate, machines)) {
                return candidate.site();
            }
        }
        return null;
    }

    private static <S extends Packing.Site> boolean fitsElsewhere(Candidate<S> leaving,
            Collection<Candidate<S>> machines) {
        Map<S, Amounts> room = new HashMap<>();
        for (JobSpec task : leaving.tasks()) {
            boolean placed = false;
            for (Candidate<S> other : machines) {
                S site = other.site();
                Amounts left = room.getOrDefault(site, site.room());
                boolean inUse = other.tasks() == null || !other.tasks().isEmpty();
                if (other != leaving && inUse && task.demand().fitsIn(left) && site.images().contains(task.image())
                        && (site.spot() || !leaving.site().spot())
                        && task.allows(site.type(), site.zone(), site.spot())) {
                    room.put(site, left.minus(task.demand()));
                    placed = true;
                    break;
                }
            }
            if (!placed) {
                return false;
            }
        }
        return true;
    }
}

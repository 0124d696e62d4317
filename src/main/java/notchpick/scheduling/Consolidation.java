package notchpick.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Finds machines whose tasks can be saved, moved to room elsewhere, and the machines be returned. */
public final class Consolidation {
    private Consolidation() {}

    /** A machine in use. Its tasks are null if they can't be moved now. */
    public record Candidate<S extends CandidateNode>(S site, List<JobSpec> tasks) {}

    /** Below this part of the cores in use, several machines are emptied at a time. */
    private static final double SPARSE = 0.7;
    /** Of the machines that could be spared at that, this part at a time. */
    private static final double AT_A_TIME = 0.2;
    /** For each machine to be found so many are tried: where those can't leave, fuller ones hardly can. */
    private static final int TRIES_EACH = 32;

    /**
     * How many machines may be on their way out at a time: one, and more the emptier they all are, since
     * what is paid for in vain grows with their number. Never so many that what comes next finds no room.
     */
    public static int most(int machines, double usedPart) {
        return (int) Math.max(1, machines * (SPARSE - usedPart) * AT_A_TIME);
    }

    /**
     * The emptiest machines that the others can take over, image and all.
     *
     * @param moving tasks that are being moved already, and need room first
     * @param most so many at the most
     */
    public static <S extends CandidateNode> List<S> find(
            Collection<Candidate<S>> machines, Collection<JobSpec> moving, int most) {
        List<Candidate<S>> movable = new ArrayList<>();
        for (Candidate<S> machine : machines) {
            if (machine.tasks() != null && !machine.tasks().isEmpty()) {
                movable.add(machine);
            }
        }
        // Ordinary machines cost most, so they go first.
        movable.sort(Comparator.<Candidate<S>>comparingInt(c -> c.site().isSpot() ? 1 : 0)
                .thenComparingDouble(c -> c.tasks().stream()
                        .mapToDouble(task -> task.demand().cores())
                        .sum()));
        Targets<S> targets = new Targets<>(machines);
        List<S> leaving = new ArrayList<>();
        if (!targets.place(moving, null)) {
            return leaving;
        }
        int tries = most * TRIES_EACH;
        for (Candidate<S> candidate : movable) {
            if (leaving.size() >= most || tries-- <= 0) {
                break;
            }
            // What takes others' tasks over stays.
            if (!targets.taken.contains(candidate.site()) && targets.place(candidate.tasks(), candidate.site())) {
                leaving.add(candidate.site());
                targets.open.remove(candidate.site());
            }
        }
        return leaving;
    }

    /** Machines in use with room for others' tasks, the fullest first. */
    private static final class Targets<S extends CandidateNode> {
        private final Set<S> open = new LinkedHashSet<>();
        private final Set<S> taken = new HashSet<>();
        private final Map<S, Resources> room = new HashMap<>();

        Targets(Collection<Candidate<S>> machines) {
            List<S> inUse = new ArrayList<>();
            for (Candidate<S> machine : machines) {
                boolean used = machine.tasks() == null || !machine.tasks().isEmpty();
                if (used && machine.site().freeResources().cores() > Resources.EPSILON) {
                    inUse.add(machine.site());
                }
            }
            inUse.sort(Comparator.comparingDouble(site -> site.freeResources().cores()));
            open.addAll(inUse);
        }

        /** Finds room for all of these elsewhere, or for none. */
        private boolean place(Collection<JobSpec> tasks, S leaving) {
            Map<S, Resources> left = new HashMap<>();
            for (JobSpec task : tasks) {
                S place = null;
                for (S site : open) {
                    Resources free = left.getOrDefault(site, room.getOrDefault(site, site.freeResources()));
                    if (site != leaving
                            && task.demand().fitsIn(free)
                            && site.images().contains(task.image())
                            && (leaving == null || site.isSpot() || !leaving.isSpot())
                            && task.allows(site.type(), site.zone(), site.isSpot())) {
                        place = site;
                        left.put(site, free.minus(task.demand()));
                        break;
                    }
                }
                if (place == null) {
                    return false;
                }
            }
            room.putAll(left);
            taken.addAll(left.keySet());
            return true;
        }
    }
}

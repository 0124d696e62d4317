package notchpick.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Selects machines to drain and return: those whose tasks can write a checkpoint and continue on other machines. */
public final class Consolidation {
    private Consolidation() {}

    /**
     * A machine that could be drained, or could take over the tasks of a drained machine.
     *
     * @param movableTasks the tasks of the machine; empty if at least one of them can't be moved now
     */
    public record Candidate<N extends CandidateNode>(N node, Optional<List<JobSpec>> movableTasks) {
        private boolean isInUse() {
            return movableTasks.isEmpty() || hasMovableTasks();
        }

        private boolean hasMovableTasks() {
            return movableTasks.isPresent() && !movableTasks.get().isEmpty();
        }

        private List<JobSpec> tasks() {
            return movableTasks.orElse(List.of());
        }

        private double usedCores() {
            return tasks().stream().mapToDouble(task -> task.demand().cores()).sum();
        }
    }

    /** If more than this fraction of the cores is in use, only one machine is drained at a time. */
    private static final double DENSE_USE_RATIO = 0.7;
    /** The machines drained at a time, as a fraction of the capacity by which use is below {@link #DENSE_USE_RATIO}. */
    private static final double CONCURRENT_DRAIN_RATIO = 0.2;
    /** The candidates tried per machine to drain; if the emptiest ones fail, fuller ones are unlikely to succeed. */
    private static final int TRIES_PER_MACHINE = 32;

    /**
     * The maximum number of machines that may be draining at the same time: at least one, and more if fewer cores are
     * in use. Draining machines are paid for without taking new work, and enough others must be left for the work that
     * arrives next.
     *
     * @param usedRatio the fraction of all cores that is in use
     */
    public static int maxDraining(int machines, double usedRatio) {
        return (int) Math.max(1, machines * (DENSE_USE_RATIO - usedRatio) * CONCURRENT_DRAIN_RATIO);
    }

    /**
     * Selects the emptiest machines whose tasks fit on other machines that already have the images in their caches.
     *
     * @param moving tasks that are already being moved; resources are reserved for them first
     * @param maxMachines the maximum number of machines to select
     */
    public static <N extends CandidateNode> List<N> selectForDraining(
            Collection<Candidate<N>> candidates, Collection<JobSpec> moving, int maxMachines) {
        List<N> draining = new ArrayList<>();
        Targets<N> targets = new Targets<>(candidates);
        if (!targets.reserve(moving, null)) {
            return draining;
        }
        int tries = maxMachines * TRIES_PER_MACHINE;
        for (Candidate<N> candidate : inDrainingOrder(candidates)) {
            if (draining.size() >= maxMachines || tries-- <= 0) {
                break;
            }
            N node = candidate.node();
            if (!targets.isReserved(node) && targets.reserve(candidate.tasks(), node)) {
                draining.add(node);
                targets.remove(node);
            }
        }
        return draining;
    }

    /** On-demand machines first, because they cost most, then by ascending number of cores in use. */
    private static <N extends CandidateNode> List<Candidate<N>> inDrainingOrder(Collection<Candidate<N>> candidates) {
        List<Candidate<N>> movable = new ArrayList<>();
        for (Candidate<N> candidate : candidates) {
            if (candidate.hasMovableTasks()) {
                movable.add(candidate);
            }
        }
        movable.sort(Comparator.<Candidate<N>>comparingInt(
                        candidate -> candidate.node().isSpot() ? 1 : 0)
                .thenComparingDouble(Candidate::usedCores));
        return movable;
    }

    /** Machines in use with free cores, fullest first, on which resources are reserved for tasks of other machines. */
    private static final class Targets<N extends CandidateNode> {
        private final Set<N> available = new LinkedHashSet<>();
        /** The free resources that remain after reservations, for each machine with at least one reservation. */
        private final Map<N, Resources> unreserved = new HashMap<>();

        private final Set<N> reserved = new HashSet<>();

        Targets(Collection<Candidate<N>> candidates) {
            List<N> inUse = new ArrayList<>();
            for (Candidate<N> candidate : candidates) {
                if (candidate.isInUse() && candidate.node().freeResources().cores() > Resources.EPSILON) {
                    inUse.add(candidate.node());
                }
            }
            inUse.sort(Comparator.comparingDouble(node -> node.freeResources().cores()));
            available.addAll(inUse);
        }

        private boolean isReserved(N node) {
            return reserved.contains(node);
        }

        private void remove(N node) {
            available.remove(node);
        }

        /**
         * Reserves resources for all of the tasks or, if they don't all fit, for none of them.
         *
         * @param drained the machine that the tasks run on; null if they are already being moved
         * @return whether all of the tasks fit
         */
        private boolean reserve(Collection<JobSpec> tasks, N drained) {
            Map<N, Resources> remaining = new HashMap<>();
            for (JobSpec task : tasks) {
                N target = findTarget(task, drained, remaining);
                if (target == null) {
                    return false;
                }
                remaining.put(target, free(target, remaining).minus(task.demand()));
            }
            unreserved.putAll(remaining);
            reserved.addAll(remaining.keySet());
            return true;
        }

        private N findTarget(JobSpec task, N drained, Map<N, Resources> remaining) {
            for (N node : available) {
                if (node != drained
                        && task.demand().fitsIn(free(node, remaining))
                        && node.images().contains(task.image())
                        && isAsCheap(node, drained)
                        && task.allows(node.type(), node.zone(), node.isSpot())) {
                    return node;
                }
            }
            return null;
        }

        /** Tasks on a spot instance are not moved to an on-demand machine. */
        private boolean isAsCheap(N node, N drained) {
            return drained == null || node.isSpot() || !drained.isSpot();
        }

        private Resources free(N node, Map<N, Resources> remaining) {
            Resources free = remaining.get(node);
            if (free == null) {
                free = unreserved.get(node);
            }
            return free == null ? node.freeResources() : free;
        }
    }
}

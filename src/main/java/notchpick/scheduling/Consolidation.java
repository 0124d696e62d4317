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

/** Chooses machines to drain: those whose tasks can write a checkpoint and go on elsewhere, so that they can be returned. */
public final class Consolidation {
    private Consolidation() {}

    /**
     * A machine that could be drained, or take over the tasks of one that is.
     *
     * @param movableTasks its tasks; empty if one of them can't be moved now
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

    /** Above this part of the cores in use, one machine is drained at a time. */
    private static final double DENSE_USE_RATIO = 0.7;
    /** Of the machines that would be spared at that use, this part is drained at a time. */
    private static final double CONCURRENT_DRAIN_RATIO = 0.2;
    /** So many candidates are tried for each machine wanted: where those can't be drained, fuller ones hardly can. */
    private static final int TRIES_PER_MACHINE = 32;

    /**
     * How many machines may be draining at a time: one, and more the less is in use. What is paid for in vain grows with
     * the number, and the work that comes next must find enough machines.
     *
     * @param usedRatio the part of all cores that is in use
     */
    public static int maxDraining(int machines, double usedRatio) {
        return (int) Math.max(1, machines * (DENSE_USE_RATIO - usedRatio) * CONCURRENT_DRAIN_RATIO);
    }

    /**
     * The emptiest machines whose tasks the others can take over without fetching an image.
     *
     * @param moving tasks that are being moved already, and need free resources first
     * @param maxMachines at most so many are chosen
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

    /** On-demand machines first, as they cost most, then by the cores in use. */
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

    /** Machines in use with free cores, on which resources are reserved for the tasks of others; the fullest first. */
    private static final class Targets<N extends CandidateNode> {
        private final Set<N> available = new LinkedHashSet<>();
        /** What is left after the reservations, of the machines that have any. */
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
         * Reserves resources for all of these tasks, or for none.
         *
         * @param drained the machine that they run on, or null for those that are being moved already
         * @return whether all of them fit
         */
        private boolean reserve(Collection<JobSpec> tasks, N drained) {
            Map<N, Resources> left = new HashMap<>();
            for (JobSpec task : tasks) {
                N target = target(task, drained, left);
                if (target == null) {
                    return false;
                }
                left.put(target, free(target, left).minus(task.demand()));
            }
            unreserved.putAll(left);
            reserved.addAll(left.keySet());
            return true;
        }

        private N target(JobSpec task, N drained, Map<N, Resources> left) {
            for (N node : available) {
                if (node != drained
                        && task.demand().fitsIn(free(node, left))
                        && node.images().contains(task.image())
                        && isAsCheap(node, drained)
                        && task.allows(node.type(), node.zone(), node.isSpot())) {
                    return node;
                }
            }
            return null;
        }

        /** What runs on a spot instance is not moved to an on-demand machine. */
        private boolean isAsCheap(N node, N drained) {
            return drained == null || node.isSpot() || !drained.isSpot();
        }

        private Resources free(N node, Map<N, Resources> left) {
            Resources free = left.get(node);
            if (free == null) {
                free = unreserved.get(node);
            }
            return free == null ? node.freeResources() : free;
        }
    }
}

package notchpick.scheduling;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import notchpick.scheduling.JobSpec.Priority;

/**
 * Computes the effective priority and deadline of open jobs. A job inherits from its dependents the highest priority,
 * and the earliest due time minus the expected duration of the stages after it (the backward pass of the critical path
 * method). The dependencies must not have cycles. The cost of a change is proportional to the number of jobs whose
 * effective values it changes.
 */
public final class CriticalPath {
    private static final double NEVER = Double.POSITIVE_INFINITY;

    private final Map<String, Node> nodes = new HashMap<>();
    /** For each job, open or not, the ids of the open jobs that depend on it. */
    private final Map<String, Set<String>> dependents = new HashMap<>();

    /** An open job with its effective priority and due time. */
    private static final class Node {
        private final JobSpec spec;
        private final double stageMs;
        private Priority priority;
        private double dueAtMs;

        Node(JobSpec spec, double stageS) {
            this.spec = spec;
            this.stageMs = stageS * Milliseconds.PER_SECOND;
            this.priority = spec.priority();
            this.dueAtMs = ownDueAtMs();
        }

        private double ownDueAtMs() {
            return spec.deadlineS() == null ? NEVER : spec.submittedAtMs() + spec.deadlineS() * Milliseconds.PER_SECOND;
        }
    }

    /**
     * Adds an open job.
     *
     * @param spec the specification with the priority and deadline that the user set
     * @param stageS the expected time from when it is ready until it ends, in seconds
     * @return the ids of the jobs whose effective priority or deadline changes, including this one if it inherits any
     */
    public Set<String> add(JobSpec spec, double stageS) {
        nodes.put(spec.id(), new Node(spec, stageS));
        for (String dependency : spec.dependencies()) {
            dependents
                    .computeIfAbsent(dependency, name -> new LinkedHashSet<>())
                    .add(spec.id());
        }
        boolean inherits = updateNode(spec.id());
        Set<String> changed = propagate(spec.dependencies());
        if (inherits) {
            changed.add(spec.id());
        }
        return changed;
    }

    /** Removes a job that is no longer open. Returns the ids of the jobs whose effective values change. */
    public Set<String> remove(String id) {
        Node node = nodes.remove(id);
        if (node == null) {
            return Set.of();
        }
        for (String dependency : node.spec.dependencies()) {
            dependents.computeIfPresent(dependency, (name, ids) -> {
                ids.remove(id);
                return ids.isEmpty() ? null : ids;
            });
        }
        return propagate(node.spec.dependencies());
    }

    /** The job, which must have been added, with its effective priority and deadline. */
    public JobSpec effective(JobSpec spec) {
        Node node = nodes.get(spec.id());
        Double deadlineS =
                node.dueAtMs == NEVER ? null : (node.dueAtMs - node.spec.submittedAtMs()) / Milliseconds.PER_SECOND;
        return spec.withEffectivePriority(node.priority, deadlineS);
    }

    /** Updates these jobs and, for each job that changes, its dependencies. Returns the ids of the changed jobs. */
    private Set<String> propagate(Collection<String> from) {
        Set<String> changed = new HashSet<>();
        Deque<String> queue = new ArrayDeque<>(from);
        Set<String> queued = new HashSet<>(from);
        while (!queue.isEmpty()) {
            String id = queue.poll();
            queued.remove(id);
            if (nodes.containsKey(id) && updateNode(id)) {
                changed.add(id);
                for (String dependency : nodes.get(id).spec.dependencies()) {
                    if (queued.add(dependency)) {
                        queue.add(dependency);
                    }
                }
            }
        }
        return changed;
    }

    /** Recomputes a job's effective priority and due time, and returns whether either changed. */
    private boolean updateNode(String id) {
        Node node = nodes.get(id);
        Priority priority = node.spec.priority();
        double dueAtMs = node.ownDueAtMs();
        for (String dependentId : dependents.getOrDefault(id, Set.of())) {
            Node dependent = nodes.get(dependentId);
            priority = dependent.priority.compareTo(priority) < 0 ? dependent.priority : priority;
            dueAtMs = Math.min(dueAtMs, dependent.dueAtMs - dependent.stageMs);
        }
        boolean changed = priority != node.priority || dueAtMs != node.dueAtMs;
        node.priority = priority;
        node.dueAtMs = dueAtMs;
        return changed;
    }
}

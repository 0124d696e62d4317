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
 * What open jobs take over from those that need them: the highest priority, and the tightest due time less what
 * the stages after them will still take (the backward pass of the critical path method). A change costs as much
 * as there are jobs whose claim it changes.
 */
public final class CriticalPath {
    private static final double NEVER = Double.POSITIVE_INFINITY;

    private final Map<String, Node> nodes = new HashMap<>();
    /** By job, open or not: the open ones that need it. */
    private final Map<String, Set<String>> dependents = new HashMap<>();

    private static final class Node {
        private final JobSpec own;
        private final double stageMs;
        private Priority priority;
        private double dueAt;

        Node(JobSpec own, double stageS) {
            this.own = own;
            this.stageMs = stageS * 1000;
            this.priority = own.priority();
            this.dueAt = ownDueAt();
        }

        private double ownDueAt() {
            return own.deadlineS() == null ? NEVER : own.submittedAt() + own.deadlineS() * 1000;
        }
    }

    /**
     * A job has come.
     *
     * @param stageS how long it will take from being ready to its end
     * @return the jobs that now count as something else than before, or than their users said
     */
    public Set<String> add(JobSpec spec, double stageS) {
        nodes.put(spec.id(), new Node(spec, stageS));
        spec.dependencies()
                .forEach(need -> dependents
                        .computeIfAbsent(need, n -> new LinkedHashSet<>())
                        .add(spec.id()));
        boolean claims = review(spec.id());
        Set<String> changed = propagate(spec.dependencies());
        if (claims) {
            changed.add(spec.id());
        }
        return changed;
    }

    /** A job has gone; gives those that now count as something else. */
    public Set<String> remove(String id) {
        Node node = nodes.remove(id);
        if (node == null) {
            return Set.of();
        }
        for (String need : node.own.dependencies()) {
            dependents.computeIfPresent(need, (name, needing) -> {
                needing.remove(id);
                return needing.isEmpty() ? null : needing;
            });
        }
        return propagate(node.own.dependencies());
    }

    /** The job with the priority and the deadline that it counts with. */
    public JobSpec counting(JobSpec spec) {
        Node node = nodes.get(spec.id());
        Double dueS = node.dueAt == NEVER ? null : (node.dueAt - node.own.submittedAt()) / 1000;
        return spec.withEffectivePriority(node.priority, dueS);
    }

    private Set<String> propagate(Collection<String> from) {
        Set<String> changed = new HashSet<>();
        Deque<String> due = new ArrayDeque<>(from);
        Set<String> queued = new HashSet<>(from);
        while (!due.isEmpty()) {
            String id = due.poll();
            queued.remove(id);
            if (nodes.containsKey(id) && review(id)) {
                changed.add(id);
                for (String need : nodes.get(id).own.dependencies()) {
                    if (queued.add(need)) {
                        due.add(need);
                    }
                }
            }
        }
        return changed;
    }

    /** Whether the job's claim has changed. */
    private boolean review(String id) {
        Node node = nodes.get(id);
        Priority priority = node.own.priority();
        double dueAt = node.ownDueAt();
        for (String dependent : dependents.getOrDefault(id, Set.of())) {
            Node after = nodes.get(dependent);
            priority = after.priority.compareTo(priority) < 0 ? after.priority : priority;
            dueAt = Math.min(dueAt, after.dueAt - after.stageMs);
        }
        boolean changed = priority != node.priority || dueAt != node.dueAt;
        node.priority = priority;
        node.dueAt = dueAt;
        return changed;
    }
}

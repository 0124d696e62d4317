package notchpick.model;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The graph of dependencies among open jobs. A job that is no longer open was either completed or cancelled, and its
 * dependents stay blocked until its outcome has been read. Outcomes are final: a satisfied dependency stays satisfied,
 * and dependents of a cancelled job stay cancelled.
 */
public final class DependencyGraph {
    private final Predicate<String> isOpen;
    /** The dependencies of each open job that has any. */
    private final Map<String, Dependencies> dependencies = new HashMap<>();
    /** For each job, open or not, the open jobs that depend on it directly. */
    private final Map<String, Set<String>> dependents = new HashMap<>();
    /** Jobs that are not open, have open dependents, and whose outcome has not been read. */
    private final Set<String> unresolved = new LinkedHashSet<>();
    /** Open jobs that depend on a cancelled one, directly or transitively. */
    private final Set<String> cancelledByDependency = new LinkedHashSet<>();

    /** The dependencies of one job: all of them, and those that are not known to be done. */
    private static final class Dependencies {
        private final List<String> all;
        private final Set<String> unsatisfied;
        private long lastEndedAtMs;

        Dependencies(List<String> all) {
            this.all = all;
            this.unsatisfied = new HashSet<>(all);
        }
    }

    /** @param isOpen whether the owner of the graph has read that a job is open */
    public DependencyGraph(Predicate<String> isOpen) {
        this.isOpen = isOpen;
    }

    /** Adds an open job with its dependencies; idempotent. */
    public void addJob(String job, List<String> dependsOn) {
        // The pages of a listing may be read in any order: if a dependent came first, this job was taken to have ended.
        unresolved.remove(job);
        if (dependsOn.isEmpty() || dependencies.containsKey(job)) {
            return;
        }
        dependencies.put(job, new Dependencies(dependsOn));
        for (String dependency : dependsOn) {
            dependents.computeIfAbsent(dependency, id -> new LinkedHashSet<>()).add(job);
            if (!isOpen.test(dependency)) {
                unresolved.add(dependency);
            } else if (cancelledByDependency.contains(dependency)) {
                cancelWithDependents(job);
            }
        }
    }

    /** Removes a job that is no longer open; if open jobs depend on it, its outcome has to be read. */
    public void removeJob(String job) {
        Dependencies removed = dependencies.remove(job);
        cancelledByDependency.remove(job);
        if (removed != null) {
            removed.all.forEach(dependency -> removeDependent(dependency, job));
        }
        if (dependents.containsKey(job)) {
            unresolved.add(job);
        }
    }

    private void removeDependent(String dependency, String job) {
        dependents.computeIfPresent(dependency, (id, jobs) -> {
            jobs.remove(job);
            return jobs.isEmpty() ? null : jobs;
        });
        if (!dependents.containsKey(dependency)) {
            unresolved.remove(dependency);
        }
    }

    /** Applies the outcome of a job. Returns the dependents that now have all their dependencies satisfied. */
    public Collection<String> applyOutcome(String job, JobRecord outcome) {
        unresolved.remove(job);
        Set<String> ready = new LinkedHashSet<>();
        for (String dependent : List.copyOf(dependents.getOrDefault(job, Set.of()))) {
            Dependencies own = dependencies.get(dependent);
            if (outcome.status() == JobStatus.CANCELLED) {
                cancelWithDependents(dependent);
            } else if (own.unsatisfied.remove(job)) {
                own.lastEndedAtMs = Math.max(own.lastEndedAtMs, outcome.endedAtMs());
                if (own.unsatisfied.isEmpty()) {
                    ready.add(dependent);
                }
            }
        }
        return ready;
    }

    /** Iterative, because a chain may be as long as the number of jobs, and recursion would overflow the stack. */
    private void cancelWithDependents(String job) {
        Deque<String> queue = new ArrayDeque<>(List.of(job));
        while (!queue.isEmpty()) {
            String next = queue.poll();
            if (cancelledByDependency.add(next)) {
                queue.addAll(dependents.getOrDefault(next, Set.of()));
            }
        }
    }

    /** Whether a dependency of the job is unsatisfied; it stays so if a dependency was cancelled. */
    public boolean isBlocked(String job) {
        Dependencies own = dependencies.get(job);
        return own != null && !own.unsatisfied.isEmpty();
    }

    /**
     * Wall-clock time at which the last dependency known to be done ended, in milliseconds; 0 if none is known to be
     * done. The job must be open and have dependencies.
     */
    public long lastEndedAtMs(String job) {
        return dependencies.get(job).lastEndedAtMs;
    }

    /** Whether the open job depends on a cancelled one, directly or transitively. */
    public boolean isCancelledByDependency(String job) {
        return cancelledByDependency.contains(job);
    }

    /** The open jobs that depend on a cancelled one, directly or transitively. */
    public Collection<String> cancelledByDependency() {
        return cancelledByDependency;
    }

    /** The jobs whose outcomes have to be read before their dependents can be unblocked or cancelled. */
    public Set<String> unresolved() {
        return unresolved;
    }
}

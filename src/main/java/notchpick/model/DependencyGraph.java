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
 * Which open jobs need which others. That a job is not open any more says that it is over but not how: a job that
 * needs it is held until that has been read. Ends are for good, and so is what follows from them.
 */
public final class DependencyGraph {
    private final Predicate<String> isOpen;
    /** Of each open job that needs others: all that it named, and those that are not known to be done. */
    private final Map<String, Needs> needs = new HashMap<>();
    /** By job, open or not: the open ones that need it. */
    private final Map<String, Set<String>> dependents = new HashMap<>();
    /** Needed by open jobs, not open any more, and not known to be done or cancelled. */
    private final Set<String> unresolved = new LinkedHashSet<>();
    /** Open jobs that need a cancelled one, directly or through others. */
    private final Set<String> doomed = new LinkedHashSet<>();

    private static final class Needs {
        private final List<String> named;
        private final Set<String> unmet;
        private long lastEndedAt;

        Needs(List<String> named) {
            this.named = named;
            this.unmet = new HashSet<>(named);
        }
    }

    public DependencyGraph(Predicate<String> isOpen) {
        this.isOpen = isOpen;
    }

    /** The job is open; to say so again changes nothing. */
    public void opened(String job, List<String> named) {
        // Where pages were read at different moments, who needs it may have been read before it.
        unresolved.remove(job);
        if (named.isEmpty() || needs.containsKey(job)) {
            return;
        }
        needs.put(job, new Needs(named));
        for (String need : named) {
            dependents.computeIfAbsent(need, n -> new LinkedHashSet<>()).add(job);
            if (!isOpen.test(need)) {
                unresolved.add(need);
            } else if (doomed.contains(need)) {
                doom(job);
            }
        }
    }

    /** The job is not open any more. */
    public void closed(String job) {
        Needs own = needs.remove(job);
        doomed.remove(job);
        if (own != null) {
            for (String need : own.named) {
                dependents.computeIfPresent(need, (name, needing) -> {
                    needing.remove(job);
                    return needing.isEmpty() ? null : needing;
                });
                if (!dependents.containsKey(need)) {
                    unresolved.remove(need);
                }
            }
        }
        if (dependents.containsKey(job)) {
            unresolved.add(job);
        }
    }

    /** How a job ended; gives those that now need nothing more. */
    public Collection<String> resolved(String job, JobRecord record) {
        unresolved.remove(job);
        Set<String> ready = new LinkedHashSet<>();
        for (String dependent : List.copyOf(dependents.getOrDefault(job, Set.of()))) {
            Needs own = needs.get(dependent);
            if (record.status() == JobStatus.CANCELLED) {
                doom(dependent);
            } else if (own.unmet.remove(job)) {
                own.lastEndedAt = Math.max(own.lastEndedAt, record.endedAt());
                if (own.unmet.isEmpty()) {
                    ready.add(dependent);
                }
            }
        }
        return ready;
    }

    private void doom(String job) {
        Deque<String> due = new ArrayDeque<>(List.of(job));
        while (!due.isEmpty()) {
            String next = due.poll();
            if (doomed.add(next)) {
                due.addAll(dependents.getOrDefault(next, Set.of()));
            }
        }
    }

    /** Whether the job waits for others, or will never run because one of them was cancelled. */
    public boolean isBlocked(String job) {
        Needs own = needs.get(job);
        return own != null && !own.unmet.isEmpty();
    }

    /** When the last of its needs was done, as far as is known; 0: before its submission. */
    public long lastEndedAt(String job) {
        return needs.get(job).lastEndedAt;
    }

    public boolean isDoomed(String job) {
        return doomed.contains(job);
    }

    /** Open jobs that a cancelled one takes along. */
    public Collection<String> doomed() {
        return doomed;
    }

    /** What is to be read before anything can be said of the jobs that need it. */
    public Set<String> unresolved() {
        return unresolved;
    }
}

package notchpick.coordination.leader.allocation;

import java.util.BitSet;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import notchpick.model.Job;
import notchpick.model.Machine;
import notchpick.scheduling.Resources;

/** Resources on machines and the tasks to be placed on them, leased to the controller that places the team's tasks. */
final class ResourceLease {
    private static final BitSet NO_TASKS = new BitSet();

    private final long number;
    private final String team;
    private final String holder;
    private final Map<Machine, Resources> resources = new LinkedHashMap<>();
    private final Map<Job, BitSet> tasks = new LinkedHashMap<>();

    ResourceLease(long number, String team, String holder) {
        this.number = number;
        this.team = team;
        this.holder = holder;
    }

    /**
     * The number of the lease, which increases across terms. Tasks placed under the lease use it as their attempt
     * number.
     */
    long number() {
        return number;
    }

    String team() {
        return team;
    }

    /** The controller that places the tasks. */
    String holder() {
        return holder;
    }

    /** Adds resources on the machine for one task of the job. */
    void add(Machine machine, Job job, int task) {
        resources.merge(machine, job.spec().demand(), Resources::plus);
        tasks.computeIfAbsent(job, j -> new BitSet()).set(task);
    }

    boolean isEmpty() {
        return tasks.isEmpty();
    }

    int taskCount() {
        return tasks.values().stream().mapToInt(BitSet::cardinality).sum();
    }

    boolean covers(Job job) {
        return tasks.containsKey(job);
    }

    boolean covers(Job job, int task) {
        return tasks.getOrDefault(job, NO_TASKS).get(task);
    }

    Collection<Machine> machines() {
        return resources.keySet();
    }

    /** The leased resources, by machine. */
    Map<Machine, Resources> resources() {
        return Collections.unmodifiableMap(resources);
    }

    /** The tasks to be placed, by job. */
    Map<Job, BitSet> tasks() {
        return Collections.unmodifiableMap(tasks);
    }

    /** Frees the leased resources and tasks when the lease ends. */
    void returnAll() {
        resources.forEach(Machine::returnLeased);
        tasks.forEach((job, leased) -> leased.stream().forEach(job::returnLeasedTask));
    }
}

package notchpick.coordination.leader.allocation;

import java.util.BitSet;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import notchpick.model.Job;
import notchpick.model.Machine;
import notchpick.scheduling.Resources;

/** Resources on machines, and the tasks to be placed there, leased to the controller that places a team's tasks. */
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

    /** Rises over all terms; it is the attempt number of the tasks placed under the lease. */
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

    /** Adds resources on the machine for a task. */
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

    /** The leased resources of each machine. */
    Map<Machine, Resources> resources() {
        return Collections.unmodifiableMap(resources);
    }

    /** The tasks to be placed of each job. */
    Map<Job, BitSet> tasks() {
        return Collections.unmodifiableMap(tasks);
    }

    /** The lease is over: what it covered is free again. */
    void returnAll() {
        resources.forEach(Machine::returnLeased);
        tasks.forEach((job, leased) -> leased.stream().forEach(job::returnLeasedTask));
    }
}

package notchpick.model;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.Resources;

/** The leader's open jobs and machines, and which task is assigned to which machine. */
public final class ClusterState {
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Collection<Job> jobsView = Collections.unmodifiableCollection(jobs.values());
    private final Collection<Machine> machinesView = Collections.unmodifiableCollection(machines.values());
    /** Machines that the cloud has confirmed to be gone; a late heartbeat must not bring one back. */
    private final Set<String> removedMachines = new HashSet<>();

    private final Map<String, Resources> usageByTeam = new HashMap<>();
    private final Map<String, Set<TaskAssignment>> assignmentsByJob = new HashMap<>();
    private final Consumer<TaskAssignment> onAssignmentEnded;

    /** @param onAssignmentEnded is notified of every assignment that has ended */
    public ClusterState(Consumer<TaskAssignment> onAssignmentEnded) {
        this.onAssignmentEnded = onAssignmentEnded;
    }

    /** The open jobs, in the order in which they were added. */
    public Collection<Job> jobs() {
        return jobsView;
    }

    /** A copy of the ids of the open jobs. */
    public List<String> jobIds() {
        return List.copyOf(jobs.keySet());
    }

    /** The open job with this id, or null. */
    public Job job(String id) {
        return jobs.get(id);
    }

    public boolean isOpen(String id) {
        return jobs.containsKey(id);
    }

    public void addJob(Job job) {
        jobs.put(job.id(), job);
    }

    /** Removes a job that has ended, and returns it; null if it was not open. */
    public Job removeJob(String id) {
        return jobs.remove(id);
    }

    public void clearJobs() {
        jobs.clear();
    }

    /**
     * Replaces the specification of the job and of its assignments. Its team and demand must stay the same, because the
     * usage of each team is the sum of the demands of its assignments.
     */
    public void replaceSpec(Job job, JobSpec spec) {
        job.replaceSpec(spec);
        assignmentsByJob.getOrDefault(spec.id(), Set.of()).forEach(assignment -> assignment.replaceSpec(spec));
    }

    /** The machines, in the order in which they were added. */
    public Collection<Machine> machines() {
        return machinesView;
    }

    /** A copy of the machines, to be iterated over while machines are added or removed. */
    public List<Machine> copyOfMachines() {
        return List.copyOf(machines.values());
    }

    /** The machine with this name, or null. */
    public Machine machine(String name) {
        return machines.get(name);
    }

    /** The machine with this name. If there is none, the factory creates one, which is added. */
    public Machine machineOrAdd(String name, Function<String, Machine> factory) {
        return machines.computeIfAbsent(name, factory);
    }

    public void addMachine(Machine machine) {
        machines.put(machine.name(), machine);
    }

    /** Removes a machine that the cloud has confirmed to be gone. */
    public void removeMachine(Machine machine) {
        machines.remove(machine.name());
        removedMachines.add(machine.name());
    }

    /** Whether the cloud has confirmed that the machine is gone. */
    public boolean isRemoved(String machine) {
        return removedMachines.contains(machine);
    }

    /** The resources of all ready machines. */
    public Resources capacity() {
        double cores = 0;
        double gpus = 0;
        double ram = 0;
        for (Machine machine : machines.values()) {
            if (machine.state() == Machine.State.READY) {
                cores += machine.size().cores();
                gpus += machine.size().gpus();
                ram += machine.size().ram();
            }
        }
        return new Resources(cores, gpus, ram);
    }

    /**
     * Assigns the task to the machine, where it holds its resources from now on. An earlier assignment of the same task
     * to the same machine ends.
     */
    public TaskAssignment assign(JobSpec spec, int task, Machine machine, long attempt, TaskAssignment.Phase phase) {
        TaskAssignment assignment = new TaskAssignment(spec, task, machine, attempt, phase);
        TaskAssignment previous = machine.assignment(assignment.taskName());
        if (previous != null) {
            unassign(previous);
        }
        machine.add(assignment);
        assignmentsByJob.computeIfAbsent(spec.id(), id -> new LinkedHashSet<>()).add(assignment);
        usageByTeam.merge(spec.team(), spec.demand(), Resources::plus);
        // The image fetched for this task also serves the other tasks that need it.
        machine.addImage(spec.image());
        Job job = jobs.get(spec.id());
        if (job != null) {
            job.incrementMachines(task);
        }
        return assignment;
    }

    /** Records that the worker has reported the task as running for the first time. */
    public void markRunning(TaskAssignment assignment, long nowMs) {
        assignment.markRunning(nowMs);
        Job job = jobs.get(assignment.spec().id());
        if (job != null) {
            job.incrementRunningTasks();
        }
    }

    /** Ends the assignment, once it is certain that the task is no longer on the machine. No effect if it has ended. */
    public void unassign(TaskAssignment assignment) {
        if (!assignment.machine().remove(assignment)) {
            return;
        }
        JobSpec spec = assignment.spec();
        assignmentsByJob.computeIfPresent(spec.id(), (id, assignments) -> {
            assignments.remove(assignment);
            return assignments.isEmpty() ? null : assignments;
        });
        usageByTeam.computeIfPresent(spec.team(), (team, usage) -> usage.minus(spec.demand()));
        Job job = jobs.get(spec.id());
        if (job != null) {
            if (assignment.isRunning()) {
                job.decrementRunningTasks();
            }
            job.decrementMachines(assignment.task());
        }
        onAssignmentEnded.accept(assignment);
    }

    /** Ends all assignments of a machine, once it is certain that no task is on it any more. */
    public void unassignAll(Machine machine) {
        machine.copyOfAssignments().forEach(this::unassign);
    }

    /** A copy of the assignments of a job. */
    public Collection<TaskAssignment> assignmentsOf(String job) {
        return List.copyOf(assignmentsByJob.getOrDefault(job, Set.of()));
    }

    /** The resources that the tasks of a team hold, including tasks that are not certain to have ended. */
    public Resources usage(String team) {
        return usageByTeam.getOrDefault(team, Resources.NONE);
    }

    /** How many of a job's tasks are, or may be, in each zone. */
    public Map<String, Integer> tasksByZone(String job) {
        Map<String, Integer> zones = new HashMap<>();
        for (TaskAssignment assignment : assignmentsByJob.getOrDefault(job, Set.of())) {
            zones.merge(assignment.machine().zone(), 1, Integer::sum);
        }
        return zones;
    }
}

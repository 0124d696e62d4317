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
    private final Consumer<TaskAssignment> assignmentEnded;

    /** @param assignmentEnded is notified of every assignment that has ended */
    public ClusterState(Consumer<TaskAssignment> assignmentEnded) {
        this.assignmentEnded = assignmentEnded;
    }

    // ---- jobs ----------------------------------------------------------------------------------

    /** The open jobs, in the order in which they became known. */
    public Collection<Job> jobs() {
        return jobsView;
    }

    /** The ids of the open jobs as they are now. */
    public List<String> jobIds() {
        return List.copyOf(jobs.keySet());
    }

    /** The open job, or null. */
    public Job job(String id) {
        return jobs.get(id);
    }

    public boolean isOpen(String id) {
        return jobs.containsKey(id);
    }

    public void addJob(Job job) {
        jobs.put(job.id(), job);
    }

    /** The job has ended; gives it, or null if it was not open. */
    public Job removeJob(String id) {
        return jobs.remove(id);
    }

    public void clearJobs() {
        jobs.clear();
    }

    /** Changes how the job, and what runs of it, counts from now on; its demand must stay as it is. */
    public void replaceSpec(Job job, JobSpec spec) {
        job.replaceSpec(spec);
        assignmentsByJob.getOrDefault(spec.id(), Set.of()).forEach(assignment -> assignment.replaceSpec(spec));
    }

    // ---- machines ------------------------------------------------------------------------------

    /** The machines, in the order in which they became known. */
    public Collection<Machine> machines() {
        return machinesView;
    }

    /** The machines as they are now, to be iterated over while they change. */
    public List<Machine> copyOfMachines() {
        return List.copyOf(machines.values());
    }

    /** The machine, or null. */
    public Machine machine(String name) {
        return machines.get(name);
    }

    /** The machine, which is added if it is not known. */
    public Machine machineOrAdd(String name, Function<String, Machine> maker) {
        return machines.computeIfAbsent(name, maker);
    }

    public void addMachine(Machine machine) {
        machines.put(machine.name(), machine);
    }

    /** The cloud has confirmed that the machine is gone. */
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

    // ---- assignments ---------------------------------------------------------------------------

    /**
     * Assigns the task to the machine: from now on it holds its resources there, in the place of an earlier assignment.
     */
    public TaskAssignment assign(JobSpec spec, int task, Machine machine, long attempt, TaskAssignment.Phase phase) {
        TaskAssignment assignment = new TaskAssignment(spec, task, machine, attempt, phase);
        TaskAssignment former = machine.assignment(assignment.taskName());
        if (former != null) {
            unassign(former);
        }
        machine.add(assignment);
        assignmentsByJob.computeIfAbsent(spec.id(), id -> new LinkedHashSet<>()).add(assignment);
        usageByTeam.merge(spec.team(), spec.demand(), Resources::plus);
        // Its fetch serves all tasks that need the same image.
        machine.addImage(spec.image());
        Job job = jobs.get(spec.id());
        if (job != null) {
            job.assigned(task);
        }
        return assignment;
    }

    /** The worker reports for the first time that the task runs. */
    public void markRunning(TaskAssignment assignment, long now) {
        assignment.markRunning(now);
        Job job = jobs.get(assignment.spec().id());
        if (job != null) {
            job.taskStartedRunning();
        }
    }

    /** The task surely is not on the machine any more. */
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
                job.taskStoppedRunning();
            }
            job.unassigned(assignment.task());
        }
        assignmentEnded.accept(assignment);
    }

    /** Nothing is on the machine any more. */
    public void unassignAll(Machine machine) {
        machine.copyOfAssignments().forEach(this::unassign);
    }

    /** The assignments of a job as they are now. */
    public Collection<TaskAssignment> assignmentsOf(String job) {
        return List.copyOf(assignmentsByJob.getOrDefault(job, Set.of()));
    }

    /** What the tasks of a team hold, including those of which it is not certain that they are gone. */
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

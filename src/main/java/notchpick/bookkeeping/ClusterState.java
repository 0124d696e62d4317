package notchpick.bookkeeping;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import notchpick.scheduling.Amounts;
import notchpick.scheduling.JobSpec;

/** The open jobs, the machines, and what is bound where. */
public final class ClusterState {
    public final Map<String, Job> jobs = new LinkedHashMap<>();
    public final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, Amounts> use = new HashMap<>();
    private final Map<String, Set<TaskAssignment>> byJob = new HashMap<>();
    private final Consumer<TaskAssignment> released;

    /** @param released hears of every binding that is over */
    public ClusterState(Consumer<TaskAssignment> released) {
        this.released = released;
    }

    /** Assigns the task to the machine: from now on it holds its resources there, in the place of an earlier assignment. */
    public TaskAssignment bind(JobSpec spec, int task, Machine machine, long attempt, TaskAssignment.Phase phase) {
        TaskAssignment binding = new TaskAssignment(spec, task, machine, attempt, phase);
        TaskAssignment former = machine.bindings.get(binding.taskName());
        if (former != null) {
            unbind(former);
        }
        machine.bindings.put(binding.taskName(), binding);
        machine.hold(binding);
        byJob.computeIfAbsent(spec.id(), id -> new LinkedHashSet<>()).add(binding);
        use.merge(spec.team(), spec.demand(), Amounts::plus);
        // Its fetch serves all tasks that need the same image.
        machine.images.add(spec.image());
        Job job = jobs.get(spec.id());
        if (job != null) {
            job.bind(task);
        }
        return binding;
    }

    /** The job, and what runs of it, counts as this from now on; what it demands stays as it is. */
    public void respec(Job job, JobSpec spec) {
        job.spec = spec;
        byJob.getOrDefault(spec.id(), Set.of()).forEach(binding -> binding.spec = spec);
    }

    /** The task surely is not on the machine any more. */
    public void unbind(TaskAssignment binding) {
        if (!binding.machine.bindings.remove(binding.taskName(), binding)) {
            return;
        }
        JobSpec spec = binding.spec;
        binding.machine.free(binding);
        byJob.computeIfPresent(spec.id(), (id, bindings) -> {
            bindings.remove(binding);
            return bindings.isEmpty() ? null : bindings;
        });
        use.computeIfPresent(spec.team(), (team, amounts) -> amounts.minus(spec.demand()));
        Job job = jobs.get(spec.id());
        if (job != null) {
            if (binding.running) {
                job.running--;
            }
            job.unbind(binding.task);
        }
        released.accept(binding);
    }

    /** Nothing is on the machine any more. */
    public void unbindAll(Machine machine) {
        List.copyOf(machine.bindings.values()).forEach(this::unbind);
    }

    /** A job's tasks that are, or may be, on machines; its own copy. */
    public Collection<TaskAssignment> bindingsOf(String job) {
        return List.copyOf(byJob.getOrDefault(job, Set.of()));
    }

    /** What the tasks of a team hold, those included of which it is not sure that they are gone. */
    public Amounts use(String team) {
        return use.getOrDefault(team, Amounts.NONE);
    }

    /** What is ready to be shared. */
    public Amounts total() {
        double cores = 0;
        double gpus = 0;
        double ram = 0;
        for (Machine machine : machines.values()) {
            if (machine.life == Machine.Life.UP) {
                cores += machine.size.cores();
                gpus += machine.size.gpus();
                ram += machine.size.ram();
            }
        }
        return new Amounts(cores, gpus, ram);
    }

    /** How many of a job's tasks are, or may be, in each zone. */
    public Map<String, Integer> zonesOf(String job) {
        Map<String, Integer> zones = new HashMap<>();
        for (TaskAssignment binding : byJob.getOrDefault(job, Set.of())) {
            zones.merge(binding.machine.zone(), 1, Integer::sum);
        }
        return zones;
    }
}

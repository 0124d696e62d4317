package notchpick.bookkeeping;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import notchpick.scheduling.Amounts;
import notchpick.scheduling.JobSpec;

/** The open jobs, the machines, and what is bound where. */
public final class Roster {
    public final Map<String, Job> jobs = new LinkedHashMap<>();
    public final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, Amounts> use = new HashMap<>();

    public Binding bind(JobSpec spec, int task, Machine machine, long attempt, Binding.Phase phase) {
        Binding binding = new Binding(spec, task, machine, attempt, phase);
        Binding former = machine.bindings.put(binding.taskName(), binding);
        if (former != null) {
            release(former);
        }
        use.merge(spec.team(), spec.demand(), Amounts::plus);
        // Its fetch serves all tasks that need the same image.
        machine.images.add(spec.image());
        Job job = jobs.get(spec.id());
        if (job != null) {
            job.bind(task);
        }
        return binding;
    }

    /** The task surely is not on the machine any more. */
    public void unbind(Binding binding) {
        if (binding.machine.bindings.remove(binding.taskName(), binding)) {
            release(binding);
        }
    }

    private void release(Binding binding) {
        use.computeIfPresent(binding.spec.team(), (team, amounts) -> amounts.minus(binding.spec.demand()));
        Job job = jobs.get(binding.spec.id());
        if (job != null) {
            if (binding.running) {
                job.running--;
            }
            job.unbind(binding.task);
        }
    }

    /** What the tasks of a team hold, those included of which it is not sure that they are gone. */
    public Amounts use(String team) {
        return use.getOrDefault(team, Amounts.NONE);
    }

    /** What is ready to be shared. */
    public Amounts total() {
        Amounts total = Amounts.NONE;
        for (Machine machine : machines.values()) {
            if (machine.life == Machine.Life.UP) {
                total = total.plus(machine.size);
            }
        }
        return total;
    }

    /** How many of a job's tasks are, or may be, in each zone. */
    public Map<String, Integer> zonesOf(String job) {
        Map<String, Integer> zones = new HashMap<>();
        for (Machine machine : machines.values()) {
            for (Binding binding : machine.bindings.values()) {
                if (binding.spec.id().equals(job)) {
                    zones.merge(machine.zone(), 1, Integer::sum);
                }
            }
        }
        return zones;
    }
}

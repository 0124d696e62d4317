package notchpick.simulation;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.Resources;

/** The workers of all booted machines and the tasks on them. */
public final class SimulatedFleet implements SimulatedCloud.MachineListener {
    private static final int MAX_HANGING_MACHINES = 8;

    private final SimulatedTime time;
    private final SimulatedNetwork network;
    private final JobGroundTruth jobs;
    private final OccurrenceCounters occurrences;
    private final WorkerEnvironment environment;
    private final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();
    /** Zones of all machines that have ever booted, by machine; entries outlive the machine. */
    private final Map<String, String> zones = new HashMap<>();

    SimulatedFleet(
            SimulatedNetwork network,
            JobGroundTruth jobs,
            OccurrenceCounters occurrences,
            WorkerEnvironment environment) {
        this.time = environment.time();
        this.network = network;
        this.jobs = jobs;
        this.occurrences = occurrences;
        this.environment = environment;
    }

    @Override
    public void machineStarted(RentedMachine machine) {
        String name = machine.name();
        zones.put(name, machine.zone());
        network.addToGroup(name, "workers");
        network.addToGroup(name, "workers-" + machine.zone());
        network.addToZone(name, machine.zone());
        workers.put(name, new SimulatedWorker(machine, network.callerOf(name, () -> true), environment));
    }

    @Override
    public void machineRemoved(String name) {
        SimulatedWorker worker = workers.remove(name);
        if (worker != null) {
            worker.terminate();
        }
    }

    /** The workers of the booted machines, in the order in which they booted. */
    public List<SimulatedWorker> workers() {
        return List.copyOf(workers.values());
    }

    /** Names of the booted machines, in the order in which they booted. */
    public List<String> machines() {
        return List.copyOf(workers.keySet());
    }

    /** The worker on the machine with this name; null if no such machine is booted. */
    public SimulatedWorker worker(String machine) {
        return workers.get(machine);
    }

    public String zoneOf(String machine) {
        return zones.get(machine);
    }

    /** How many tasks of each job are on machines, by job. */
    Map<String, Integer> tasksByJob() {
        Map<String, Integer> tasks = new LinkedHashMap<>();
        for (SimulatedWorker worker : workers.values()) {
            worker.tasks().forEach(task -> tasks.merge(InvariantChecker.jobOf(task), 1, Integer::sum));
        }
        return tasks;
    }

    /** How many tasks of the job are on machines, by zone. */
    Map<String, Integer> tasksByZone(JobSpec job) {
        Map<String, Integer> tasks = new HashMap<>();
        for (SimulatedWorker worker : workers.values()) {
            for (String task : worker.tasks()) {
                if (jobs.specOfTask(task).equals(job)) {
                    tasks.merge(worker.zone(), 1, Integer::sum);
                }
            }
        }
        return tasks;
    }

    /** The resources that the team's tasks on machines hold. */
    Resources usageOf(String team) {
        Resources usage = Resources.NONE;
        for (SimulatedWorker worker : workers.values()) {
            for (String task : worker.tasks()) {
                JobSpec spec = jobs.specOfTask(task);
                usage = spec.team().equals(team) ? usage.plus(spec.demand()) : usage;
            }
        }
        return usage;
    }

    /** The resources of the worker's machine that no task holds. */
    Resources freeResources(SimulatedWorker worker) {
        Resources free = worker.type().size();
        for (String task : worker.tasks()) {
            free = free.minus(jobs.specOfTask(task).demand());
        }
        return free;
    }

    /** Hangs the worker's machine for this long. */
    public void hang(SimulatedWorker worker, long durationMs) {
        worker.setHanging(true);
        time.schedule(durationMs, () -> worker.setHanging(false));
        occurrences.increment(Occurrence.MACHINE_HANG);
    }

    /** Hangs the first few machines that hold tasks of these jobs for this long. */
    public void hangMachinesOf(List<String> jobIds, long durationMs) {
        workers.values().stream()
                .filter(worker ->
                        worker.tasks().stream().anyMatch(task -> jobIds.contains(InvariantChecker.jobOf(task))))
                .limit(MAX_HANGING_MACHINES)
                .forEach(worker -> hang(worker, durationMs));
    }
}

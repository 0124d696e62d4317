package notchpick;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import notchpick.coordination.Deployment.Quota;
import notchpick.protocol.InvalidMessageException;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.Resources;
import notchpick.simulation.ClusterConfig;
import notchpick.simulation.Occurrence;
import notchpick.simulation.SimulatedCloud;
import notchpick.simulation.SimulatedCluster;
import notchpick.simulation.SimulatedControllers;
import notchpick.simulation.SimulatedNetwork;
import notchpick.simulation.SimulatedNetwork.Cut;
import notchpick.simulation.SimulatedStateStore;
import notchpick.simulation.SimulatedWorker;
import notchpick.simulation.Transcript;
import notchpick.simulation.WorkerTiming;

/** One run of {@link FaultCombinationTest}: a cluster with jobs, its random decisions, and a log of the events. */
final class FaultRun {
    /** The number of long jobs, which users cancel. */
    private static final int LONG_JOBS = 6;

    /** The jobs that every run submits at its start. */
    static final List<String> JOBS = Stream.concat(
                    Stream.of("run-000001", "run-000002", "run-000003"),
                    IntStream.range(0, LONG_JOBS).mapToObj(i -> "run-00001" + i))
            .toList();

    /** The number of jobs that arrive one after another while faults are active. */
    private static final int STREAM_JOBS = 25;

    private static final long STREAM_INTERVAL_MS = 2000;
    /** More jobs than one transaction can end. */
    private static final int JOBS_THAT_END_TOGETHER = 24;
    /** The longest wait for an event. */
    private static final long MAX_WAIT_MS = 7000;

    private static final long WAIT_STEP_MS = 10;

    /** Turns a fault of a machine on or off. */
    interface MachineFault {
        void set(SimulatedWorker worker, boolean active);
    }

    private final List<String> eventLog = new ArrayList<>();
    private final Random random;
    private final SimulatedCluster cluster;
    private final WorkerTiming timing;
    private long longestFaultMs = Long.MAX_VALUE;
    private int wideJobs;
    private int smallJobs;

    /** Creates a cluster with this number of controllers, but no machine capacity and no jobs yet. */
    FaultRun(int seed, int controllers, WorkerTiming timing) {
        this(
                seed,
                controllers,
                timing,
                List.of(
                        new Quota("a", Resources.NONE, new Resources(40, 0, 0)),
                        new Quota("b", Resources.NONE, Resources.NONE)),
                List.of(ClusterConfig.machineType("m8", 2)));
    }

    private FaultRun(int seed, int controllers, WorkerTiming timing, List<Quota> teams, List<MachineType> types) {
        this(seed, timing, new SimulatedCluster(config(controllers, timing, teams, types)));
    }

    private FaultRun(int seed, WorkerTiming timing, SimulatedCluster cluster) {
        this.random = new Random(seed);
        this.timing = timing;
        this.cluster = cluster;
    }

    private static ClusterConfig config(
            int controllers, WorkerTiming timing, List<Quota> teams, List<MachineType> types) {
        return ClusterConfig.builder()
                .controllers(controllers)
                .teams(teams)
                .machineTypes(types)
                .requestsPerS(500)
                .writesPerS(150)
                .timing(timing)
                .build();
    }

    /** The configuration of a cluster for {@link ConstrainedJobs}. */
    static ClusterConfig configForConstrainedJobs(int controllers, WorkerTiming timing) {
        return config(controllers, timing, ConstrainedJobs.teams(), ConstrainedJobs.machineTypes());
    }

    /** Creates a cluster whose jobs restrict where their tasks may run, and runs it until faults may begin. */
    static FaultRun withConstrainedJobs(int seed, int controllers, WorkerTiming timing) {
        FaultRun run = new FaultRun(seed, timing, new SimulatedCluster(configForConstrainedJobs(controllers, timing)));
        ConstrainedJobs.offerMachines(run.cluster, 1);
        run.cluster.time().runUntil(3000);
        ConstrainedJobs.submit(run.cluster, 1);
        run.cluster.time().runUntil(15_000);
        run.cluster.users().setReadAfterEachChange(true);
        return run;
    }

    /**
     * Creates a run on a cluster that the caller has started.
     *
     * @param longestFaultMs no fault that lasts for a random time lasts longer
     */
    static FaultRun on(SimulatedCluster cluster, int seed, WorkerTiming timing, long longestFaultMs) {
        FaultRun run = new FaultRun(seed, timing, cluster);
        run.longestFaultMs = longestFaultMs;
        return run;
    }

    WorkerTiming timing() {
        return timing;
    }

    /** Submits the jobs and runs the cluster until faults may begin. */
    void start(Transcript transcript) throws InvalidMessageException {
        cluster.record(transcript);
        cluster.setCapacity("m8", "east", true, 7);
        cluster.setCapacity("m8", "west", true, 7);
        cluster.time().runUntil(3000);
        submit(JOBS.get(0), Map.of("tasks", "25", "team", "a"), 100);
        submit(JOBS.get(1), Map.of("tasks", "90", "team", "a"), 9);
        submit(JOBS.get(2), Map.of("tasks", "20", "team", "b", "one-zone", "yes"), 40);
        for (String job : JOBS.subList(3, JOBS.size())) {
            submit(job, Map.of("tasks", "5", "team", "b"), 150);
        }
        cluster.time().runUntil(20_000);
        cluster.users().setReadAfterEachChange(true);
        cluster.users().setCancelAtCompletionShare(0.2);
        for (int i = 0; i < STREAM_JOBS; i++) {
            String job = String.format("run-01%04d", i);
            cluster.time()
                    .schedule(STREAM_INTERVAL_MS * i, () -> submitValid(job, Map.of("tasks", "3", "team", "b"), 5));
        }
    }

    private void submitValid(String job, Map<String, String> options, double runS) {
        try {
            submit(job, options, runS);
        } catch (InvalidMessageException e) {
            throw new IllegalArgumentException(job, e);
        }
    }

    private void submit(String job, Map<String, String> options, double runS) throws InvalidMessageException {
        cluster.users().submit(Submissions.submission(job, options), runS, 0.8, false);
    }

    SimulatedCluster cluster() {
        return cluster;
    }

    SimulatedControllers controllers() {
        return cluster.controllers();
    }

    SimulatedStateStore stateStore() {
        return cluster.stateStore();
    }

    SimulatedNetwork network() {
        return cluster.network();
    }

    SimulatedCloud cloud() {
        return cluster.cloud();
    }

    Random random() {
        return random;
    }

    /** A random number from least to most, both included. */
    long between(long least, long most) {
        return least + random.nextInt((int) (most - least + 1));
    }

    String anyNode() {
        return nodes().get(random.nextInt(nodes().size()));
    }

    List<String> nodes() {
        return controllers().nodes();
    }

    List<String> nodesExcept(String excluded) {
        return nodes().stream().filter(node -> !node.equals(excluded)).toList();
    }

    List<SimulatedWorker> workers() {
        return cluster.fleet().workers();
    }

    /** The events so far, one per line. */
    String eventLog() {
        return String.join("\n", eventLog);
    }

    void log(String event) {
        eventLog.add("at " + cluster.time().nowMs() / 1000.0 + " " + event);
    }

    /** Schedules the work, and logs the event when the work runs. */
    void runLater(long delayMs, String event, Runnable work) {
        cluster.time().schedule(delayMs, () -> {
            log(event);
            work.run();
        });
    }

    /** Injects the fault at the leader, or at any controller if there is no leader, for a random time. */
    void inject(Fault fault) {
        String leader = controllers().leader().orElseGet(this::anyNode);
        long randomMs = switch (random.nextInt(3)) {
            case 0 -> between(1000, 8000);
            case 1 -> between(8000, 30_000);
            default -> between(30_000, 70_000);
        };
        long durationMs = Math.min(randomMs, longestFaultMs);
        log(fault + " " + leader + " for " + durationMs / 1000.0);
        fault.inject(this, leader, durationMs);
    }

    /** Cuts the link between two hosts or groups for this long. */
    void cut(String one, String other, long durationMs) {
        network().cut(one, other, Cut.HOLD);
        cluster.time().schedule(durationMs, () -> network().heal(one, other));
    }

    /** Delays packets in one direction for this long. */
    void slowDown(String from, String to, long durationMs) {
        network().delayOneWay(from, to, between(200, 3800));
        runLater(
                durationMs,
                from + " to " + to + " is fast again",
                () -> network().delayOneWay(from, to, 0));
    }

    /** Injects the fault into some machines for this long. */
    void injectMachineFault(long durationMs, MachineFault fault) {
        List<SimulatedWorker> some = workers().stream().limit(between(1, 20)).toList();
        some.forEach(worker -> fault.set(worker, true));
        runLater(durationMs, "machines are healthy again", () -> some.forEach(worker -> fault.set(worker, false)));
    }

    /** Has the cloud reclaim a random number of machines, from 1 to this many. */
    void reclaimMachines(int most) {
        cluster.fleet().machines().stream().limit(between(1, most)).forEach(cloud()::reclaim);
    }

    /** Has users cancel up to this many running jobs; returns the chosen jobs. */
    List<String> cancelRunning(int count) {
        List<String> jobs = cluster.cancelRunning(count);
        log("users cancel " + jobs);
        return jobs;
    }

    /** Has users cancel some jobs; at random, some machines of these jobs hang as well. */
    void cancelSome() {
        if (random.nextBoolean()) {
            cancelWhileStarting();
        }
        List<String> jobs = cancelRunning((int) between(0, 2));
        if (random.nextInt(4) == 0) {
            cluster.fleet().hangMachinesOf(jobs, between(3000, 30_000));
        }
    }

    /** Submits a job and cancels it while its tasks are being started. */
    private void cancelWhileStarting() {
        String job = String.format("run-02%04d", wideJobs++);
        submitValid(job, Map.of("tasks", "24", "team", "b", "urgency", "high", "due", "60"), 60);
        runLater(between(20, 6000), "users cancel " + job, () -> cluster.users().cancel(job));
    }

    /** Submits small urgent jobs whose tasks all run for the same time. */
    void submitJobsThatEndTogether() {
        for (int i = 0; i < JOBS_THAT_END_TOGETHER; i++) {
            String job = String.format("run-03%04d", smallJobs++);
            submitValid(job, Map.of("tasks", "2", "team", "b", "urgency", "high", "due", "60"), 4);
        }
    }

    /** Runs the cluster until shortly after an event of a random kind or for a random time, or not at all. */
    void awaitRandomEvent() {
        switch (random.nextInt(6)) {
            case 0 -> awaitEvent("an election", () -> controllers().term());
            case 1 ->
                awaitEvent("a cancellation", () -> cluster.occurrences().count(Occurrence.CANCELLATION_CONFIRMED));
            case 2 -> awaitEvent("a completion", () -> cluster.occurrences().count(Occurrence.TASK_COMPLETED));
            case 3 -> awaitEvent("a boot", () -> cloud().bootedCount());
            case 4 -> cluster.runFor(between(0, 5000));
            default -> {}
        }
    }

    /** Runs the cluster until shortly after the event has occurred once more, for {@link #MAX_WAIT_MS} at most. */
    private void awaitEvent(String event, IntSupplier count) {
        int before = count.getAsInt();
        long untilMs = cluster.time().nowMs() + MAX_WAIT_MS;
        while (count.getAsInt() == before && cluster.time().nowMs() < untilMs) {
            cluster.runFor(WAIT_STEP_MS);
        }
        log(count.getAsInt() == before ? "waited for " + event + " without success" : "after " + event);
        cluster.runFor(between(0, 400));
    }
}

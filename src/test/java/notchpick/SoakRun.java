package notchpick;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import notchpick.simulation.SimulatedCluster;
import notchpick.simulation.SimulatedNetwork;
import notchpick.simulation.SimulatedTime;
import notchpick.simulation.WorkerTiming;
import notchpick.soak.ProcessControllers;
import notchpick.soak.WorkQueue;

/**
 * One seed of the soak: real controller processes, with simulated users, workers, cloud and state store on loopback.
 * Faults overlap throughout, and meanwhile users cancel, ask and repeat at all controllers. The protocol's rules are
 * judged by what workers and users see.
 */
final class SoakRun {
    private static final WorkerTiming TIMING = new WorkerTiming(1, 8, 20);
    /** One seed in this many has 300 workers. */
    private static final int LARGE_FLEET_SEEDS = 10;

    private static final int LARGE_FLEET_SCALE = 19;
    private static final long LONGEST_FAULT_MS = 15_000;
    private static final long SETTLING_MS = 20_000;
    private static final long START_TIMEOUT_MS = 180_000;
    private static final long START_CHECK_MS = 200;
    private static final long MAX_PAUSE_BETWEEN_FAULTS_MS = 6000;
    private static final long USER_ACTION_INTERVAL_MS = 700;
    private static final int ADDRESS_PART_VALUES = 256;
    private static final int MAX_ADDRESS_PART = 254;
    private static final Path LOGS = Path.of("target", "soak");

    private final int seed;
    private final long lengthMs;
    private final List<String> jobs = new ArrayList<>();

    /** @param lengthMs for how long faults are injected */
    SoakRun(int seed, long lengthMs) {
        this.seed = seed;
        this.lengthMs = lengthMs;
    }

    int seed() {
        return seed;
    }

    /**
     * The outcome of a seed.
     *
     * @param violations one line each; empty if all rules held
     * @param eventLog the faults with their times
     * @param figures what the run has reached, for display
     */
    record Outcome(int seed, List<String> violations, String eventLog, String figures) {}

    /** Runs the seed; the controllers' logs are kept in a directory of their own under target. */
    Outcome run() {
        int scale = seed % LARGE_FLEET_SEEDS == 0 ? LARGE_FLEET_SCALE : 1;
        Path logs = prepareLogDirectory();
        WorkQueue work = new WorkQueue();
        List<ProcessControllers> runners = new ArrayList<>();
        try {
            SimulatedCluster cluster = new SimulatedCluster(
                    FaultRun.configForConstrainedJobs(3 + 2 * (seed % 2), TIMING),
                    new SimulatedTime(work),
                    (time, network) -> {
                        ProcessControllers runner = startRunner(time, network, work, loopbackHost(), logs);
                        runners.add(runner);
                        return runner;
                    });
            FaultRun run = FaultRun.on(cluster, seed, TIMING, LONGEST_FAULT_MS);
            ConstrainedJobs.offerMachines(cluster, scale);
            jobs.addAll(ConstrainedJobs.submit(cluster, scale));
            awaitFirstStart(cluster);
            cluster.users().setReadAfterEachChange(true);
            cluster.users().setCancelAtCompletionShare(0.1);
            scheduleUserAction(run);
            injectFaults(run);
            cluster.runFor(SETTLING_MS);
            return outcome(run);
        } finally {
            runners.forEach(ProcessControllers::close);
        }
    }

    /** A loopback address for this process and seed alone. */
    private String loopbackHost() {
        long pid = ProcessHandle.current().pid();
        return "127." + (1 + (pid >> 8) % MAX_ADDRESS_PART) + "." + pid % ADDRESS_PART_VALUES + "."
                + (1 + seed % MAX_ADDRESS_PART);
    }

    private static ProcessControllers startRunner(
            SimulatedTime time, SimulatedNetwork network, WorkQueue work, String host, Path logs) {
        try {
            return new ProcessControllers(time, network, work, host, logs);
        } catch (Exception e) {
            throw new IllegalStateException("can't run controllers", e);
        }
    }

    private Path prepareLogDirectory() {
        Path directory = LOGS.resolve("seed-" + seed);
        try {
            if (Files.exists(directory)) {
                try (Stream<Path> old = Files.walk(directory)) {
                    old.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
                }
            }
            return Files.createDirectories(directory);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Waits until the deployment works, however slow the machine is. */
    private static void awaitFirstStart(SimulatedCluster cluster) {
        while (cluster.invariants().starts() == 0 && cluster.time().nowMs() < START_TIMEOUT_MS) {
            cluster.runFor(START_CHECK_MS);
        }
    }

    private void injectFaults(FaultRun run) {
        long endMs = run.cluster().time().nowMs() + lengthMs;
        while (run.cluster().time().nowMs() < endMs) {
            ConstrainedFaults.injectNext(run);
            run.cluster().runFor(run.between(0, MAX_PAUSE_BETWEEN_FAULTS_MS));
        }
        run.log("no more faults");
    }

    private void scheduleUserAction(FaultRun run) {
        run.cluster().time().schedule(USER_ACTION_INTERVAL_MS, () -> {
            String job = jobs.get(run.random().nextInt(jobs.size()));
            if (run.cluster().users().hasSubmitted(job)) {
                switch (run.random().nextInt(12)) {
                    case 0 -> run.cluster().users().cancel(job);
                    case 1, 2 -> run.cluster().users().resubmit(job);
                    default -> run.cluster().users().readAtAllControllers(job);
                }
            }
            scheduleUserAction(run);
        });
    }

    private Outcome outcome(FaultRun run) {
        SimulatedCluster cluster = run.cluster();
        List<String> violations = new ArrayList<>(cluster.invariants().violations());
        if (cluster.invariants().starts() == 0) {
            violations.add("nothing_ran: no task was started");
        }
        if (cluster.directCommands() > 0) {
            violations.add("direct_command: " + cluster.directCommands() + " were sent");
        }
        String figures = String.format(
                "starts %d, terms %d, launches withdrawn %d, workers %d",
                cluster.invariants().starts(),
                cluster.controllers().term(),
                cluster.controllers().withdrawnLaunches(),
                cluster.fleet().workers().size());
        return new Outcome(seed, violations, run.eventLog(), figures);
    }
}

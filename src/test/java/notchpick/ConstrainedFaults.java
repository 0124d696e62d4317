package notchpick;

import java.util.Arrays;
import java.util.List;
import notchpick.simulation.SimulatedWorker;

/**
 * Random faults for runs with {@link ConstrainedJobs}. Often the machines of a zone stop or are cut off for about a
 * worker lease, so that jobs bound to one zone start again in another one while the leader changes.
 */
final class ConstrainedFaults {
    /** All faults but the one that needs the jobs of {@link FaultCombinationTest}. */
    private static final List<Fault> ALL_FAULTS = Arrays.stream(Fault.values())
            .filter(fault -> fault != Fault.INVALID_REQUESTS)
            .toList();

    /** The faults that end assignments, change the leader, or make what the leader knows older. */
    private static final List<Fault> FREQUENT_FAULTS = List.of(
            Fault.LEADER_CRASHES,
            Fault.ZONE_CUT,
            Fault.MACHINES_DIE,
            Fault.MACHINES_HANG,
            Fault.MACHINES_LOSE_HEARTBEATS,
            Fault.MACHINES_LOSE_INCOMING,
            Fault.LEADER_LOSES_WORKERS,
            Fault.LEADER_FREEZES,
            Fault.HEARTBEATS_DUPLICATED,
            Fault.WRITES_APPLIED_LATE,
            Fault.LISTS_SLOW,
            Fault.FORMER_LEADER_RESUMES);

    private static final double MIN_ISOLATION_LEASES = 0.7;
    private static final double MAX_ISOLATION_LEASES = 2.3;

    private ConstrainedFaults() {}

    /** Injects a random fault; users may cancel a job shortly after. */
    static void injectNext(FaultRun run) {
        switch (run.random().nextInt(6)) {
            case 0 -> stopZone(run, anyZone(run));
            case 1 -> isolateZone(run, anyZone(run));
            case 2 -> run.inject(any(ALL_FAULTS, run));
            default -> run.inject(any(FREQUENT_FAULTS, run));
        }
        if (run.random().nextInt(3) == 0) {
            run.cancelRunning(1);
        }
    }

    private static Fault any(List<Fault> faults, FaultRun run) {
        return faults.get(run.random().nextInt(faults.size()));
    }

    private static String anyZone(FaultRun run) {
        return run.random().nextBoolean() ? "east" : "west";
    }

    /** Cuts the workers of a zone off for about a lease or longer; some of their machines stop meanwhile. */
    private static void isolateZone(FaultRun run, String zone) {
        double leaseMs = run.timing().leaseS() * 1000;
        long durationMs = run.between((long) (leaseMs * MIN_ISOLATION_LEASES), (long) (leaseMs * MAX_ISOLATION_LEASES));
        run.log("workers of " + zone + " are cut off for " + durationMs / 1000.0);
        run.cut("workers-" + zone, "controllers", durationMs);
        run.runLater(
                run.between(0, durationMs),
                "machines of " + zone + " stop",
                () -> run.workers().stream()
                        .filter(worker ->
                                worker.zone().equals(zone) && run.random().nextBoolean())
                        .map(SimulatedWorker::name)
                        .forEach(run.cloud()::reclaim));
    }

    /** Stops all machines of the zone, or all but one. */
    private static void stopZone(FaultRun run, String zone) {
        run.log("machines of " + zone + " stop");
        run.workers().stream()
                .filter(worker -> worker.zone().equals(zone))
                .map(SimulatedWorker::name)
                .skip(run.between(0, 1))
                .forEach(run.cloud()::reclaim);
    }
}

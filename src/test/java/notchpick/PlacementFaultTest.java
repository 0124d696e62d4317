package notchpick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import notchpick.protocol.InvalidMessageException;
import notchpick.simulation.WorkerTiming;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Seeded random runs of three to five overlapping faults, with jobs that restrict where their tasks may run. In most
 * runs all machines of a zone stop, so that jobs bound to one zone start again in another one, and the leader changes.
 * {@code -Dplacements=FIRST-LAST} selects the seeds; with {@code -Dstory=true} each run prints its event log.
 */
@Execution(ExecutionMode.CONCURRENT)
class PlacementFaultTest {
    private static final String DEFAULT_SEEDS = "190-230";
    private static final List<WorkerTiming> TIMINGS =
            List.of(new WorkerTiming(5, 22, 42), new WorkerTiming(5, 29, 54), new WorkerTiming(2, 20, 24));

    private static final long SETTLING_MS = 150_000;
    /** The launches that leaders withdrew in all runs, because what they knew had changed since the placement. */
    private static final AtomicLong WITHDRAWN_LAUNCHES = new AtomicLong();

    /** The range of seeds to run, both ends included. */
    static IntStream seeds() {
        String[] range = System.getProperty("placements", DEFAULT_SEEDS).split("-", 2);
        return IntStream.rangeClosed(Integer.parseInt(range[0]), Integer.parseInt(range[1]));
    }

    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void tasksStartOnlyWhereTheirJobAllows(int seed) throws InvalidMessageException {
        FaultRun run = FaultRun.withConstrainedJobs(seed, 3 + 2 * (seed % 2), TIMINGS.get(seed % TIMINGS.size()));
        int faults = (int) run.between(3, 5);
        for (int i = 0; i < faults; i++) {
            ConstrainedFaults.injectNext(run);
            run.awaitRandomEvent();
        }
        run.cluster().runFor(SETTLING_MS);
        long withdrawn = run.controllers().withdrawnLaunches();
        WITHDRAWN_LAUNCHES.addAndGet(withdrawn);
        System.out.printf("seed %d: %d launches withdrawn%n", seed, withdrawn);
        if (Boolean.getBoolean("story")) {
            System.out.println("seed " + seed + ": " + run.eventLog() + "\n");
        }
        assertEquals(List.of(), run.cluster().invariants().violations(), "seed " + seed + ": " + run.eventLog());
    }

    /** Checks that the runs together have reached what they test. */
    @AfterAll
    static void launchesWereJudgedAgain() {
        System.out.println("launches withdrawn: " + WITHDRAWN_LAUNCHES);
        if (System.getProperty("placements") == null) {
            assertTrue(WITHDRAWN_LAUNCHES.get() > 0, "no run reached a launch that was not permitted any more");
        }
    }
}

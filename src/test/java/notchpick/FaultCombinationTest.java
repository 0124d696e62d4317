package notchpick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;
import notchpick.protocol.InvalidMessageException;
import notchpick.simulation.InvariantChecker;
import notchpick.simulation.SimulatedCluster;
import notchpick.simulation.Transcript;
import notchpick.simulation.WorkerTiming;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Seeded random runs over pairs and triples of faults, the second of which begins close to an election, a confirmed
 * cancellation, a task's completion or a machine's boot, while users cancel jobs and read at all controllers. Seeds go
 * through all pairs in turn; {@code -Dmeetings=FIRST-LAST} plays others. A seed that fails prints its event log, and
 * with {@code -Dstory=true} each does.
 */
@Execution(ExecutionMode.CONCURRENT)
class FaultCombinationTest {
    /** How many controllers there are, and the workers' periods. */
    private record Setting(int controllers, WorkerTiming timing) {}

    /** Seeds take these in turn, so that each pair gets another one in the next round of all pairs. */
    private static final List<Setting> SETTINGS = List.of(
            new Setting(5, new WorkerTiming(5, 22, 42)),
            new Setting(7, new WorkerTiming(5, 29, 54)),
            new Setting(3, new WorkerTiming(3, 22, 42)),
            new Setting(5, new WorkerTiming(2, 20, 24)));

    private static final Fault[] FAULTS = Fault.values();
    private static final int PAIRS = FAULTS.length * (FAULTS.length + 1) / 2;
    /** After this time every fault has ended. */
    private static final long LONGEST_FAULT_MS = 75_000;

    private static final long SETTLING_MS = 300_000;

    /** The seeds to play. */
    static IntStream seeds() {
        String[] range = System.getProperty("meetings", "1-" + PAIRS).split("-", 2);
        return IntStream.rangeClosed(Integer.parseInt(range[0]), Integer.parseInt(range[1]));
    }

    /** The pair that a seed is about; a fault may be paired with itself. */
    private static List<Fault> pair(int seed) {
        int rest = Math.floorMod(seed - 1, PAIRS);
        int first = 0;
        while (rest >= FAULTS.length - first) {
            rest -= FAULTS.length - first;
            first++;
        }
        return List.of(FAULTS[first], FAULTS[first + rest]);
    }

    private static Setting setting(int seed) {
        return SETTINGS.get(Math.floorMod(seed - 1 + (seed - 1) / PAIRS, SETTINGS.size()));
    }

    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void noRuleIsBrokenWhereFaultsCombine(int seed) throws InvalidMessageException {
        Setting setting = setting(seed);
        FaultRun run = new FaultRun(seed, setting.controllers(), setting.timing());
        try (Transcript transcript = Transcript.open("fault-combination-" + seed)) {
            run.start(transcript);
            injectFaults(run, faults(seed, run));
            settle(run);
            print(seed, run);
            assertNoRuleBroken(seed, run);
        }
    }

    /** The seed's pair in either order, and for two thirds of the seeds a third fault. */
    private static List<Fault> faults(int seed, FaultRun run) {
        List<Fault> faults = new ArrayList<>(pair(seed));
        if (run.random().nextBoolean()) {
            Collections.reverse(faults);
        }
        switch (run.random().nextInt(3)) {
            case 0 -> faults.add(FAULTS[run.random().nextInt(FAULTS.length)]);
            // Most violations came about where an outage of the state store was the last fault.
            case 1 -> faults.add(Fault.OUTAGE);
            default -> {}
        }
        return faults;
    }

    private static void injectFaults(FaultRun run, List<Fault> faults) {
        run.cluster().runFor(run.between(0, 8000));
        for (Fault fault : faults) {
            boolean cancelFirst = run.random().nextBoolean();
            if (cancelFirst) {
                run.cancelSome();
                run.awaitRandomEvent();
            }
            run.inject(fault);
            if (!cancelFirst) {
                run.cluster().runFor(run.between(0, 1500));
                run.cancelSome();
            }
            run.awaitRandomEvent();
        }
    }

    private static void settle(FaultRun run) {
        run.cluster().runFor(LONGEST_FAULT_MS);
        run.log("faults are over");
        run.cluster().users().setCancelAtCompletionShare(0);
        run.cluster().markFaultsOver();
        run.cluster().runFor(SETTLING_MS);
    }

    private static void print(int seed, FaultRun run) {
        if (Boolean.getBoolean("story")) {
            System.out.println("seed " + seed + ": " + run.eventLog() + "\n");
        }
        InvariantChecker invariants = run.cluster().invariants();
        System.out.printf(
                "seed %d: gone %d ms and ordered %d ms after a cancellation at the latest, %d orders, %d starts%n",
                seed,
                invariants.longestRunAfterCancelMs(),
                invariants.longestStartOrderAfterCancelMs(),
                invariants.startOrdersAfterCancel(),
                invariants.startsAfterCancel());
    }

    private static void assertNoRuleBroken(int seed, FaultRun run) {
        SimulatedCluster cluster = run.cluster();
        String eventLog = "seed " + seed + ": " + run.eventLog() + "\n";
        assertEquals(List.of(), cluster.invariants().violations(), eventLog);
        assertEquals(0, cluster.directCommands(), "direct commands");
        for (String job : FaultRun.JOBS) {
            String state = cluster.users().lastState(job);
            assertTrue(List.of("done", "cancelled").contains(state), eventLog + job + " is " + state);
        }
    }
}

package notchpick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import notchpick.protocol.InvalidMessageException;
import notchpick.protocol.Json;
import notchpick.simulation.ClusterConfig;
import notchpick.simulation.SimulatedCluster;
import notchpick.simulation.SimulatedWorker;
import notchpick.simulation.WorkerTiming;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Late copies of start commands that were carried out and answered: by reply, by relayed reply, and directly. */
@Execution(ExecutionMode.CONCURRENT)
class LateStartCopyTest {
    private static final WorkerTiming TIMING = new WorkerTiming(5, 22, 42);
    private static final int MIN_COPY_DELAY_MS = 200;
    private static final int MAX_COPY_DELAY_MS = 30_000;
    private static final double COPY_SHARE = 0.5;
    private static final long QUICK_RESTART_MS = 300;

    /** Copies of heartbeats, of messages between controllers, and of the answers to both. */
    private static void repeatMessages(FaultRun run) {
        Random random = new Random(run.random().nextLong());
        run.network().setRepeater((from, call) -> {
            boolean canCarryStart =
                    call.path().equals("/hello") || call.target().endsWith(":8081");
            return canCarryStart && random.nextDouble() < COPY_SHARE
                    ? OptionalLong.of(MIN_COPY_DELAY_MS + random.nextInt(MAX_COPY_DELAY_MS - MIN_COPY_DELAY_MS))
                    : OptionalLong.empty();
        });
    }

    @ParameterizedTest(name = "seed {0}")
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void copiesOfMessagesStartNothing(int seed) {
        FaultRun run = FaultRun.withConstrainedJobs(seed, 5, TIMING);
        repeatMessages(run);
        for (int i = 0; i < 4; i++) {
            run.controllers().crash(run.controllers().leader().orElseGet(run::anyNode), QUICK_RESTART_MS);
            run.cancelRunning(1);
            run.cluster().runFor(run.between(200, 8000));
            // Without a way from the leader to the workers, commands travel by relayed replies.
            run.controllers().leader().ifPresent(leader -> run.cut(leader, "workers", run.between(5000, 25_000)));
            run.reclaimMachines(2);
            run.cancelRunning(1);
            run.cluster().runFor(run.between(5000, 20_000));
        }
        run.cluster().runFor(60_000);
        assertEquals(List.of(), run.cluster().invariants().violations(), run.eventLog());
        assertEquals(0, run.cluster().directCommands(), "direct commands");
    }

    /** Why the service sends no direct commands: the worker would carry out a copy after it has forgotten the attempt. */
    @Test
    void copyOfDirectCommandWouldStartEndedTaskAgain() throws InvalidMessageException {
        SimulatedCluster cluster = startedCluster();
        SimulatedWorker worker = cluster.fleet().workers().stream()
                .filter(candidate -> !candidate.tasks().isEmpty())
                .findFirst()
                .orElseThrow();
        String task = worker.tasks().get(0);
        long attempt = attemptOf(cluster);
        cluster.users().cancel("run-000001");
        cluster.runFor(10_000);
        assertFalse(worker.tasks().contains(task));
        ObjectNode copy =
                Json.object().put("mandate", cluster.controllers().term()).put("shift", 1);
        copy.putArray("orders")
                .addObject()
                .put("orderKind", "run")
                .put("piece", task)
                .put("tryNo", attempt);
        assertEquals(200, worker.handleCommand(copy).status());
        assertTrue(worker.tasks().contains(task));
    }

    private static SimulatedCluster startedCluster() throws InvalidMessageException {
        SimulatedCluster cluster =
                new SimulatedCluster(ClusterConfig.builder().timing(TIMING).build());
        cluster.setCapacity("m8", "east", true, 1);
        cluster.runFor(3000);
        Submissions.submit(cluster, "run-000001", Map.of("tasks", "2", "run", "100"));
        cluster.runFor(20_000);
        return cluster;
    }

    /** The attempt number of the first recorded launch. */
    private static long attemptOf(SimulatedCluster cluster) {
        JsonNode machines = cluster.stateStore().value("start/0").path("machines");
        return machines.elements().next().get(3).get(2).asLong();
    }
}

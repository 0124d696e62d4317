package notchpick.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import notchpick.protocol.Json;
import notchpick.scheduling.Resources;
import notchpick.transport.HttpCaller.Response;
import org.junit.jupiter.api.Test;

/** A worker carries out orders only for its current incarnation and under the highest fencing token it has seen. */
class SimulatedWorkerTest {
    private static final WorkerTiming TIMING = new WorkerTiming(3, 20, 40);

    private final SimulatedTime time = new SimulatedTime();
    private final SimulatedWorker worker = new SimulatedWorker(
            new RentedMachine("m-1", ClusterConfig.machineType("m8", 10), "east", true, 0),
            (call, timeoutMs, then) -> time.schedule(timeoutMs, () -> then.accept(Response.UNANSWERED)),
            new WorkerEnvironment(
                    time,
                    new InvariantChecker(time::nowMs, TIMING.cancelTimeoutMs(), Map.of()),
                    new OneMinuteJobs(),
                    new SimulatedWorker.Listener() {},
                    Map.of("node-0", "10.0.0.1:8080"),
                    TIMING,
                    new HashMap<>()));

    /** Every task takes one core and runs for one minute. */
    private static final class OneMinuteJobs implements SimulatedWorker.JobBehavior {
        @Override
        public Resources demand(String job) {
            return new Resources(1, 0, 1);
        }

        @Override
        public long runMs(String task) {
            return 60_000;
        }

        @Override
        public boolean savesCheckpoints(String job) {
            return false;
        }

        @Override
        public boolean fails(String job) {
            return false;
        }
    }

    private int start(long token, long incarnation, String task) {
        ObjectNode body = Json.object().put("mandate", token).put("shift", incarnation);
        body.putArray("orders")
                .addObject()
                .put("orderKind", "run")
                .put("piece", task)
                .put("tryNo", 1);
        return worker.handleCommand(body).status();
    }

    @Test
    void rejectsCommandsUnderAnEarlierToken() {
        assertEquals(200, start(2, 1, "run-1/0"));
        assertEquals(409, start(1, 1, "run-1/1"));
        assertEquals(List.of("run-1/0"), worker.tasks());
        assertEquals(200, start(2, 1, "run-1/1"));
        assertEquals(List.of("run-1/0", "run-1/1"), worker.tasks());
    }

    @Test
    void rejectsCommandsForAnEarlierIncarnation() {
        assertEquals(200, start(2, 1, "run-1/0"));
        // No heartbeat is answered, so the lease expires, which ends the incarnation and all its tasks.
        time.runUntil(TIMING.leaseMs() + 2);
        assertEquals(409, start(2, 1, "run-1/1"));
        assertEquals(List.of(), worker.tasks());
        assertEquals(200, start(2, 2, "run-1/1"));
    }

    @Test
    void rejectsCommandsWithoutTokenOrIncarnation() {
        assertEquals(400, worker.handleCommand(Json.object().put("mandate", 2)).status());
        assertEquals(400, worker.handleCommand(Json.object().put("shift", 1)).status());
        assertEquals(List.of(), worker.tasks());
    }

    @Test
    void answersNoCommandWhileInboundMessagesAreLost() {
        worker.setInboundLost(true);
        assertEquals(Response.UNANSWERED.status(), start(2, 1, "run-1/0"));
        assertEquals(List.of(), worker.tasks());
    }
}

package notchpick.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import notchpick.protocol.Json;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.Resources;
import notchpick.transport.HttpCaller.Response;
import org.junit.jupiter.api.Test;

/** A worker carries out orders only under the newest fencing token that it has seen, and for its present session. */
class SimulatedWorkerTest {
    private static final long LEASE_MS = 20_000;
    private final SimulatedTime simulation = new SimulatedTime();
    private final SimulatedWorker worker = new SimulatedWorker(
            simulation,
            (call, timeoutMs, then) -> simulation.after(timeoutMs, () -> then.accept(Response.NONE)),
            new InvariantChecker(simulation::now, 40_000, Map.of()),
            new OneJob(),
            "m-1",
            new MachineType("m8", new Resources(8, 0, 64), 100, 1, 1, 0.3, 10, List.of("east")),
            "east",
            true,
            Map.of("node-0", "10.0.0.1:8080"),
            3000,
            LEASE_MS,
            new HashMap<>());

    /** Every task takes one core for a minute. */
    private static final class OneJob implements SimulatedWorker.Jobs {
        @Override
        public Resources demand(String job) {
            return new Resources(1, 0, 1);
        }

        @Override
        public long runMs(String task) {
            return 60_000;
        }

        @Override
        public boolean saves(String job) {
            return false;
        }

        @Override
        public boolean failsEverywhere(String job) {
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
        return worker.command(body).status();
    }

    @Test
    void dropsCommandsOfAnEarlierToken() {
        assertEquals(200, start(2, 1, "run-1/0"));
        assertEquals(409, start(1, 1, "run-1/1"));
        assertEquals(List.of("run-1/0"), worker.tasks());
        assertEquals(200, start(2, 1, "run-1/1"));
        assertEquals(List.of("run-1/0", "run-1/1"), worker.tasks());
    }

    @Test
    void dropsCommandsOfAnEarlierSession() {
        assertEquals(200, start(2, 1, "run-1/0"));
        // Nobody answers its reports: with its lease the session ends, and all that was there.
        simulation.runUntil(LEASE_MS + 2);
        assertEquals(409, start(2, 1, "run-1/1"));
        assertEquals(List.of(), worker.tasks());
        assertEquals(200, start(2, 2, "run-1/1"));
    }

    @Test
    void refusesCommandsWithoutTokenOrSession() {
        assertEquals(400, worker.command(Json.object().put("mandate", 2)).status());
        assertEquals(400, worker.command(Json.object().put("shift", 1)).status());
        assertEquals(List.of(), worker.tasks());
    }

    @Test
    void hearsNothingWhileDeaf() {
        worker.deaf(true);
        assertEquals(Response.NONE.status(), start(2, 1, "run-1/0"));
        assertEquals(List.of(), worker.tasks());
    }
}

package notchpick.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import notchpick.protocol.Json;
import notchpick.protocol.StateStoreClient;
import notchpick.protocol.StateStoreTransport;
import notchpick.simulation.SimulatedStateStore;
import notchpick.simulation.SimulatedTime;
import notchpick.simulation.StateStoreLimits;
import notchpick.transport.EventLoop;
import org.junit.jupiter.api.Test;

/** Tests the outcomes of a leader's change: committed, repeated after a conflict, abandoned or rejected. */
class FencedWriterTest {
    private static final int MAX_WRITES = 4;
    private static final String KEY = "open/run-000001";

    private final SimulatedTime simulation = new SimulatedTime();
    private final EventLoop loop = simulation.newEventLoop(0, 0, () -> true);
    private final SimulatedStateStore state =
            new SimulatedStateStore(simulation::nowMs, simulation::schedule, MAX_WRITES, 300, 60);
    private final StateStoreClient client = new StateStoreClient(
            StateStoreTransport.direct(
                    (call, timeoutMs, then) -> simulation.schedule(5, () -> state.handle(call, then))),
            loop,
            "s:1",
            1500,
            250);
    private final List<String> events = new ArrayList<>();
    private final FencedWriter writer =
            new FencedWriter(client, loop, loop, 0, MAX_WRITES, 42, () -> events.add("leadership lost"));

    private static JsonNode value(String text) {
        return Json.object().put("text", text);
    }

    /** A change that records its outcome in {@link #events}. */
    private PreparedChange recordingChange(String name, List<KeyWrite> writes, Preconditions preconditions) {
        return new PreparedChange(writes, preconditions, new PreparedChange.Listener() {
            @Override
            public void committed() {
                events.add(name + " committed");
            }

            @Override
            public void conflicted() {
                events.add(name + " conflicted");
            }

            @Override
            public void rejected() {
                events.add(name + " rejected");
            }
        });
    }

    private void write(String name, KeyWrite write) {
        writer.write(name, () -> Optional.of(recordingChange(name, List.of(write), Preconditions.NONE)));
    }

    @Test
    void changesOfOneTurnAreCommittedInOrder() {
        write("first", KeyWrite.put("a", value("1")));
        write("second", KeyWrite.put("b", value("2")));
        simulation.runUntil(1000);
        assertEquals(List.of("first committed", "second committed"), events);
        assertEquals(value("1"), state.value("a"));
        assertEquals(value("2"), state.value("b"));
    }

    @Test
    void laterChangeReplacesPendingChangeOfSameName() {
        write("change", KeyWrite.put("a", value("old")));
        write("change", KeyWrite.put("a", value("new")));
        simulation.runUntil(1000);
        assertEquals(List.of("change committed"), events);
        assertEquals(value("new"), state.value("a"));
        assertEquals(1, state.writes());
    }

    @Test
    void changeIsAbandonedIfAKeyDoesNotHaveTheRequiredVersion() {
        state.preload(KEY, value("description"));
        write("end", KeyWrite.delete(KEY).ifVersion(7));
        write("other", KeyWrite.put("a", value("1")));
        simulation.runUntil(1000);
        assertEquals(List.of("end conflicted", "other committed"), events);
        assertNotNull(state.value(KEY));
    }

    @Test
    void changeIsRepeatedWithTheVersionReadAfterAConflict() {
        state.preload("a", value("of a former leader"));
        write("change", KeyWrite.put("a", value("new")));
        simulation.runUntil(1000);
        assertEquals(List.of("change committed"), events);
        assertEquals(value("new"), state.value("a"));
    }

    @Test
    void failedPreconditionsAreReportedBeforeTheRetry() {
        state.preload(KEY, value("description"));
        boolean[] failed = {false};
        Preconditions open = new Preconditions(Map.of(KEY, 7L), keys -> {
            events.add("failed " + keys);
            failed[0] = true;
        });
        writer.write(
                "launch",
                () -> Optional.of(recordingChange(
                        "launch", List.of(KeyWrite.put("a", value("1"))), failed[0] ? Preconditions.NONE : open)));
        simulation.runUntil(1000);
        assertEquals(List.of("failed [" + KEY + "]", "launch committed"), events);
    }

    @Test
    void nothingIsWrittenAfterAnotherTermHasBegun() {
        state.preload(StateKeys.LEADER, value("another"));
        write("change", KeyWrite.put("a", value("1")).unconditional());
        simulation.runUntil(1000);
        write("later", KeyWrite.put("b", value("2")).unconditional());
        simulation.runUntil(5000);
        assertEquals(List.of("leadership lost"), events);
        assertNull(state.value("a"));
        assertNull(state.value("b"));
    }

    @Test
    void rejectedChangeDoesNotBlockOthers() {
        state.setLimits(new StateStoreLimits(100, MAX_WRITES, 60));
        write("first", KeyWrite.put("a", value("1")));
        write("too long", KeyWrite.put("b", value("x".repeat(200))));
        write("last", KeyWrite.put("c", value("3")));
        simulation.runUntil(2000);
        assertEquals(List.of("first committed", "too long rejected", "last committed"), events);
        state.setLimits(new StateStoreLimits(1000, MAX_WRITES, 60));
        simulation.runUntil(15_000);
        assertEquals("too long committed", events.get(events.size() - 1));
    }
}

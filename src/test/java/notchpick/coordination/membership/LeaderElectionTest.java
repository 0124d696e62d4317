package notchpick.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Random;
import notchpick.protocol.Json;
import notchpick.protocol.StateStoreClient;
import notchpick.protocol.Transaction;
import notchpick.simulation.SimulatedStateStore;
import notchpick.simulation.SimulatedTime;
import notchpick.storage.StateKeys;
import notchpick.transport.EventLoop;
import org.junit.jupiter.api.Test;

/** Tests that a controller does not campaign if the state store holds records of another format. */
class LeaderElectionTest {
    private final SimulatedTime simulation = new SimulatedTime();
    private final EventLoop loop = simulation.newEventLoop(0, 0, () -> true);
    private final SimulatedStateStore stateStore =
            new SimulatedStateStore(simulation::nowMs, simulation::schedule, 12, 300, 100);
    private final StateStoreClient client = new StateStoreClient(
            (request, timeoutMs, hedged, onResponse) ->
                    simulation.schedule(5, () -> stateStore.handle(request, onResponse)),
            loop,
            "s:1",
            1500,
            250);
    private int elections;
    private final LeaderElection election =
            new LeaderElection(loop, "n-0", client, new Random(1), 3000, () -> 0, new LeaderElection.Listener() {
                @Override
                public void elected(ElectedTerm term) {
                    elections++;
                }

                @Override
                public void leaseRenewed(long leaseUntilMs) {}

                @Override
                public void deposed() {}
            });

    private void startWithTermRecord(ObjectNode term) {
        client.commit(new Transaction().put(StateKeys.TERM, term), result -> {});
        election.tell(new LeaderElection.Begin());
        simulation.runUntil(10_000);
    }

    @Test
    void doesNotCampaignOnIncompatibleFormat() {
        startWithTermRecord(Json.object().put("term", 7));
        assertTrue(election.isFormatIncompatible());
        assertEquals(0, elections);
        assertEquals(1, stateStore.writes());
    }

    @Test
    void continuesFromStoredTermOfSupportedFormat() {
        startWithTermRecord(Json.object().put("term", 7).put("format", StateKeys.FORMAT));
        assertFalse(election.isFormatIncompatible());
        assertEquals(1, elections);
        assertEquals(8, stateStore.value(StateKeys.TERM).path("term").asInt());
    }
}

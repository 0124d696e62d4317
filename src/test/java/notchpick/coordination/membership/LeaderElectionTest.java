package notchpick.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import notchpick.protocol.Json;
import notchpick.protocol.StateStoreClient;
import notchpick.protocol.Transaction;
import notchpick.simulation.SimulatedStateStore;
import notchpick.simulation.SimulatedTime;
import notchpick.storage.StateKeys;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;
import org.junit.jupiter.api.Test;

/**
 * Tests that a controller does not campaign if the state store holds records of another format, and which elections it
 * may not win.
 */
class LeaderElectionTest {
    private static final String COMMIT = "POST /commit";

    private final SimulatedTime simulation = new SimulatedTime();
    private final EventLoop loop = simulation.newEventLoop(0, 0, () -> true);
    private final SimulatedStateStore stateStore =
            new SimulatedStateStore(simulation::nowMs, simulation::schedule, 12, 300, 100);
    private final StateStoreClient client = new StateStoreClient(
            (request, timeoutMs, hedged, onResponse) -> send(request, onResponse), loop, "s:1", 1500, 250);
    private final List<String> requests = new ArrayList<>();
    private final Map<String, Long> answerDelaysMs = new HashMap<>();
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

    /** The delay of the answer is the one set for the method and path. */
    private void send(Request request, Consumer<Response> onResponse) {
        String key = request.method() + " " + request.path().split("\\?", 2)[0];
        requests.add(key);
        long answerDelayMs = answerDelaysMs.getOrDefault(key, 0L);
        simulation.schedule(
                5,
                () -> stateStore.handle(
                        request, answer -> simulation.schedule(answerDelayMs, () -> onResponse.accept(answer))));
    }

    private long countOf(String request) {
        return requests.stream().filter(request::equals).count();
    }

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

    /** Guards against an election that counts although a peer has already reported the next one. */
    @Test
    void doesNotLeadIfLaterTermIsKnownWhenElectionIsAnswered() {
        answerDelaysMs.put(COMMIT, 900L);
        election.tell(new LeaderElection.Begin());
        simulation.runUntil(600);
        assertEquals(1, countOf(COMMIT));
        election.tell(new LeaderElection.TermObserved(2, "n-1"));
        simulation.runUntil(1000);
        assertEquals(0, elections);
        assertEquals(2, election.term());
        assertEquals("n-1", election.leader());
        assertEquals(1, countOf("DELETE /holds/1"));
    }

    /** A peer may read the leader key before the elected controller learns of its own election. */
    @Test
    void leadsAlthoughPeerReportsElectionFirst() {
        answerDelaysMs.put(COMMIT, 900L);
        election.tell(new LeaderElection.Begin());
        simulation.runUntil(600);
        assertEquals(1, countOf(COMMIT));
        election.tell(new LeaderElection.TermObserved(1, "n-0"));
        simulation.runUntil(1500);
        assertEquals(1, elections);
        assertEquals(0, countOf("DELETE /holds/1"));
    }

    /** Guards against two campaigns at a time, of which one would end the election of the other. */
    @Test
    void watchDoesNotDisturbCampaign() {
        stateStore.preload(StateKeys.LEADER, Json.object().put("node", "n-1").put("term", 1));
        answerDelaysMs.put("GET /changes", 700L);
        answerDelaysMs.put(COMMIT, 1200L);
        election.tell(new LeaderElection.Begin());
        simulation.runUntil(100);
        client.commit(new Transaction().delete(StateKeys.LEADER), result -> {});
        long commits = countOf(COMMIT);
        simulation.runUntil(4000);
        assertTrue(countOf("GET /changes") >= 1);
        assertEquals(commits + 1, countOf(COMMIT));
        assertEquals(0, countOf("DELETE /holds/1"));
        assertEquals(1, elections);
    }
}

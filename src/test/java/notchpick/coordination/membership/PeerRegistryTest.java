package notchpick.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import notchpick.coordination.Deployment;
import notchpick.coordination.Deployment.Peer;
import notchpick.coordination.TestDeployments;
import notchpick.protocol.peer.LinkCondition;
import notchpick.protocol.peer.LinkKind;
import notchpick.protocol.peer.LinkRow;
import notchpick.protocol.peer.LinkTable;
import notchpick.protocol.peer.Progress;
import notchpick.protocol.peer.Pulse;
import notchpick.simulation.SimulatedTime;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller.Response;
import org.junit.jupiter.api.Test;

/** Tests the validity periods of heartbeats and link tables, and what the registry derives from them. */
class PeerRegistryTest {
    /** Three heartbeat periods of the controllers, which are a quarter of the workers' heartbeat period of 4 s. */
    private static final long LIVE_MS = 3000;
    /** Two exchange periods of link tables, which are 4 s each. */
    private static final long LINK_TABLE_VALID_MS = 8000;

    private static final Deployment DEPLOYMENT = TestDeployments.deployment(
            new Deployment.WorkerTiming(4, 20, 40), List.of(new Peer("n-1", "b:2"), new Peer("n-2", "c:2")), List.of());

    private final SimulatedTime simulation = new SimulatedTime();
    private final EventLoop loop = simulation.newEventLoop(0, 0, () -> true);
    private final LinkMonitor links = new LinkMonitor(loop, DEPLOYMENT);
    private final PeerRegistry peers = new PeerRegistry(loop, DEPLOYMENT, links);

    private static Pulse heartbeat(String node, boolean stateStoreReachable, int redirects, Progress... progress) {
        return new Pulse(node, 4L, "n-1", stateStoreReachable, redirects, List.of(progress));
    }

    private static LinkTable table(String node, LinkRow... rows) {
        return new LinkTable(node, 4L, "n-1", null, 0L, List.of(rows));
    }

    private static LinkRow workers(String zone, LinkCondition condition, long ageMs) {
        return new LinkRow(LinkKind.WORKERS, zone, condition, ageMs, 1L, 1.0);
    }

    @Test
    void keepsPeerLiveForThreeHeartbeatPeriods() {
        peers.recordHeartbeat(heartbeat("n-2", true, 3));
        peers.recordHeartbeat(heartbeat("n-1", false, 2));
        simulation.runUntil(LIVE_MS);
        assertEquals(List.of("n-1", "n-2"), peers.livePeers());
        assertEquals(Optional.of("n-2"), peers.peerReachingStateStore());
        assertEquals(5, peers.redirects());
        simulation.runUntil(LIVE_MS + 1);
        assertEquals(List.of(), peers.livePeers());
        assertEquals(Optional.empty(), peers.peerReachingStateStore());
        assertEquals(0, peers.redirects());
    }

    @Test
    void returnsProgressOfLastHeartbeatThatHasAny() {
        peers.recordHeartbeat(heartbeat("n-1", true, 0, new Progress("a", 1, 2)));
        peers.recordHeartbeat(heartbeat("n-1", true, 0, new Progress("b", 3, 4)));
        peers.recordHeartbeat(heartbeat("n-2", true, 0));
        assertNull(peers.progress("a"));
        assertEquals(new Progress("b", 3, 4), peers.progress("b"));
        simulation.runUntil(LIVE_MS + 1);
        assertNull(peers.progress("b"));
    }

    @Test
    void addsTimeSinceReceiptToLinkAge() {
        peers.recordLinkTable(
                table("n-1", workers("east", LinkCondition.UP, 700), workers("west", LinkCondition.UP, 200)));
        simulation.runUntil(100);
        assertEquals(800, peers.linkAgeMs("n-1", LinkKind.WORKERS, "east"));
        assertEquals(300, peers.linkAgeMs("n-1", LinkKind.WORKERS));
        assertEquals(-1, peers.linkAgeMs("n-1", LinkKind.PEER));
        simulation.runUntil(LINK_TABLE_VALID_MS + 1);
        assertEquals(-1, peers.linkAgeMs("n-1", LinkKind.WORKERS));
    }

    @Test
    void returnsNoAgeForLinkThatIsNotUp() {
        peers.recordLinkTable(table("n-1", workers("east", LinkCondition.SILENT, 10)));
        assertEquals(-1, peers.linkAgeMs("n-1", LinkKind.WORKERS, "east"));
    }

    @Test
    void ignoresLinkTableOfUnknownSender() {
        peers.recordLinkTable(table("n-9", workers("east", LinkCondition.UP, 10)));
        assertFalse(peers.hasLinkTable("n-9"));
    }

    @Test
    void selectsRelaysThatRespondAndReachStateStore() {
        peers.recordHeartbeat(heartbeat("n-1", true, 0));
        peers.recordHeartbeat(heartbeat("n-2", false, 0));
        peers.recordLinkTable(table("n-1"));
        peers.recordLinkTable(table("n-2"));
        assertEquals(List.of(), peers.stateStoreRelays());
        links.recordPeerRequest("n-1", Response.empty(200), loop.nowMs());
        links.recordPeerRequest("n-2", Response.empty(200), loop.nowMs());
        assertEquals(List.of("n-1"), peers.stateStoreRelays());
        assertTrue(peers.canRelay("n-2"));
        links.recordPeerRequest("n-1", Response.UNANSWERED, loop.nowMs());
        assertEquals(List.of(), peers.stateStoreRelays());
    }
}

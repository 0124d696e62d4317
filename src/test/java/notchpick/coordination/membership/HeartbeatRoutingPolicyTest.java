package notchpick.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import notchpick.coordination.Deployment;
import notchpick.coordination.Deployment.Peer;
import notchpick.coordination.TestDeployments;
import notchpick.coordination.membership.HeartbeatRoutingPolicy.Decision;
import notchpick.coordination.membership.HeartbeatRoutingPolicy.RedirectToLeader;
import notchpick.coordination.membership.HeartbeatRoutingPolicy.RedirectToPeer;
import notchpick.coordination.membership.HeartbeatRoutingPolicy.RelayToLeader;
import notchpick.coordination.membership.HeartbeatRoutingPolicy.TryNextController;
import notchpick.protocol.WorkerProtocol.Heartbeat;
import notchpick.protocol.peer.LinkCondition;
import notchpick.protocol.peer.LinkKind;
import notchpick.protocol.peer.LinkRow;
import notchpick.protocol.peer.LinkTable;
import notchpick.protocol.peer.Pulse;
import notchpick.simulation.SimulatedTime;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller.Response;
import org.junit.jupiter.api.Test;

/**
 * Tests that workers are redirected to the leader while they may reach it, and otherwise relayed through the selected
 * controller.
 */
class HeartbeatRoutingPolicyTest {
    private static final long TERM = 4;
    private static final long PERIOD_MS = 3000;
    private static final String LEADER = "n-1";
    private static final String OTHER = "n-2";
    private static final Deployment DEPLOYMENT = TestDeployments.deployment(
            new Deployment.WorkerTiming(PERIOD_MS / 1000.0, 20, 40),
            List.of(new Peer(LEADER, "b:2"), new Peer(OTHER, "c:2")),
            List.of());

    private final SimulatedTime simulation = new SimulatedTime();
    private final EventLoop loop = simulation.newEventLoop(0, 0, () -> true);
    private final LinkMonitor links = new LinkMonitor(loop, DEPLOYMENT);
    private final PeerRegistry peers = new PeerRegistry(loop, DEPLOYMENT, links);
    private final HeartbeatRoutingPolicy policy = new HeartbeatRoutingPolicy(DEPLOYMENT, peers, links);
    private long sequence;

    private Decision decide(String machine, long fencingToken) {
        return decide(machine, fencingToken, false);
    }

    private Decision decide(String machine, long fencingToken, boolean isRelayBusy) {
        Heartbeat heartbeat =
                new Heartbeat(machine, "", "m8", "east", true, 1, ++sequence, fencingToken, null, List.of());
        return policy.decide(heartbeat, LEADER, TERM, isRelayBusy, loop.nowMs());
    }

    private void leaderCanRelay() {
        links.recordPeerRequest(LEADER, Response.empty(200), loop.nowMs());
        peers.recordLinkTable(new LinkTable(LEADER, TERM, LEADER, null, 0L, List.of()));
    }

    private void otherReachesLeader(LinkRow... more) {
        peers.recordHeartbeat(new Pulse(OTHER, TERM, LEADER, true, 0, List.of()));
        List<LinkRow> rows = new ArrayList<>(List.of(more));
        rows.add(up(LinkKind.PEER, LEADER));
        peers.recordLinkTable(new LinkTable(OTHER, TERM, LEADER, null, 0L, rows));
    }

    private static LinkRow up(LinkKind kind, String name) {
        return new LinkRow(kind, name, LinkCondition.UP, 0L, 1L, 1.0);
    }

    /** Machines for which the hash of the name selects the second of two controllers. */
    private static List<String> machinesOfSecond(int count) {
        return IntStream.iterate(0, i -> i + 1)
                .mapToObj(i -> "m-" + i)
                .filter(name -> Math.floorMod(name.hashCode(), 2) == 1)
                .limit(count)
                .toList();
    }

    private RelayToLeader relay(String machine) {
        return assertInstanceOf(RelayToLeader.class, decide(machine, TERM));
    }

    private void advance(long ms) {
        simulation.runUntil(simulation.nowMs() + ms);
        leaderCanRelay();
    }

    @Test
    void redirectsWorkerWithoutTokenOfThisTermToLeader() {
        leaderCanRelay();
        assertInstanceOf(RedirectToLeader.class, decide("m-1", TERM - 1));
    }

    @Test
    void relaysWorkerThatComesBackFromLeader() {
        leaderCanRelay();
        decide("m-1", TERM - 1);
        advance(PERIOD_MS);
        assertInstanceOf(RelayToLeader.class, decide("m-1", TERM - 1));
    }

    @Test
    void relaysWorkerWithTokenOfThisTerm() {
        leaderCanRelay();
        assertInstanceOf(RelayToLeader.class, decide("m-1", TERM));
    }

    @Test
    void redirectsOneWorkerPerZoneToLeaderAfterBackoff() {
        leaderCanRelay();
        relay("m-1").route().recordRelayedReply(loop.nowMs());
        relay("m-2").route().recordRelayedReply(loop.nowMs());
        advance(PERIOD_MS);
        relay("m-1").route().recordRelayedReply(loop.nowMs());
        relay("m-2").route().recordRelayedReply(loop.nowMs());
        advance(PERIOD_MS);
        assertInstanceOf(RedirectToLeader.class, decide("m-1", TERM));
        assertInstanceOf(RelayToLeader.class, decide("m-2", TERM));
    }

    @Test
    void recordsWorkerReplyWhenNextHeartbeatComesToSameController() {
        leaderCanRelay();
        relay("m-1").route().recordRelayedReply(loop.nowMs());
        assertEquals(-1, links.workerLinkAgeMs());
        advance(PERIOD_MS);
        relay("m-1");
        assertEquals(0, links.workerLinkAgeMs());
    }

    @Test
    void sendsWorkerToNextControllerWhenLeaderIsUnreachable() {
        assertInstanceOf(TryNextController.class, decide("m-1", TERM));
    }

    @Test
    void redirectsWorkerToLiveLeaderWithoutLinkTable() {
        peers.recordHeartbeat(new Pulse(LEADER, TERM, LEADER, true, 0, List.of()));
        assertEquals(new RedirectToPeer(LEADER), decide("m-1", TERM));
    }

    @Test
    void redirectsWorkerToRelayOnceAndThenRelaysLocally() {
        leaderCanRelay();
        otherReachesLeader(up(LinkKind.WORKERS, "east"));
        String machine = machinesOfSecond(1).get(0);
        assertEquals(new RedirectToPeer(OTHER), decide(machine, TERM));
        assertInstanceOf(RelayToLeader.class, decide(machine, TERM));
    }

    @Test
    void probesUnreachedPeerOnceAndOnlyWhenBusy() {
        leaderCanRelay();
        otherReachesLeader();
        List<String> machines = machinesOfSecond(2);
        assertInstanceOf(RelayToLeader.class, decide(machines.get(0), TERM, false));
        assertEquals(new RedirectToPeer(OTHER), decide(machines.get(0), TERM, true));
        assertInstanceOf(RelayToLeader.class, decide(machines.get(1), TERM, true));
    }
}

package notchpick.coordination.leader.heartbeat;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import notchpick.coordination.Deployment;
import notchpick.coordination.TestDeployments;
import notchpick.coordination.leader.heartbeat.HeartbeatValidator.Decision;
import notchpick.coordination.leader.term.LeaderAuthority;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.ClusterState;
import notchpick.model.Machine;
import notchpick.model.MachineTypeCatalog;
import notchpick.protocol.WorkerProtocol.Heartbeat;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.NodePool;
import notchpick.scheduling.Resources;
import notchpick.scheduling.RuntimeEstimator;
import notchpick.simulation.SimulatedTime;
import notchpick.transport.EventLoop;
import org.junit.jupiter.api.Test;

/** Heartbeats are accepted only with the leader's own fencing token, once each, and in order. */
class HeartbeatValidatorTest {
    private static final long TERM = 4;
    private static final long LEASE_UNTIL_MS = 10_000;
    private static final double LEADER_LEASE_S = 3;
    private static final Deployment DEPLOYMENT = TestDeployments.deployment(TestDeployments.TIMING);

    private long nowMs = 5000;
    private final ClusterState cluster = new ClusterState(ended -> {});
    private final LeaderAuthority authority =
            new LeaderAuthority(() -> nowMs, DEPLOYMENT, LEADER_LEASE_S, LEASE_UNTIL_MS);
    private final EventLoop loop = new SimulatedTime().newEventLoop(0, 0, () -> true);
    private final MachineTypeCatalog machineTypes = new MachineTypeCatalog();
    private final HeartbeatValidator validator = new HeartbeatValidator(
            new TermContext(TERM, loop, loop, DEPLOYMENT, cluster, machineTypes, new RuntimeEstimator()), authority);

    HeartbeatValidatorTest() {
        machineTypes.update(
                List.of(new MachineType("m8", new Resources(8, 0, 64), 100, 1, 1, 0.3, 10, List.of("east", "west"))));
        authority.recordCompleteRead(nowMs);
        authority.markRecovered();
    }

    private static Heartbeat heartbeatFrom(String type, String zone) {
        return new Heartbeat("m-1", "", type, zone, true, 1, 1, TERM, null, List.of());
    }

    @Test
    void rejectsUnknownTypesAndZones() {
        assertEquals(Decision.REJECT, validator.validate(heartbeatFrom("m9", "east")));
        assertEquals(Decision.REJECT, validator.validate(heartbeatFrom("m8", "north")));
        assertEquals(Decision.ACCEPT, validator.validate(heartbeatFrom("m8", "west")));
    }

    private static Heartbeat heartbeat(long incarnation, long sequence, long fencingToken) {
        return new Heartbeat("m-1", "", "m8", "east", true, incarnation, sequence, fencingToken, null, List.of());
    }

    private Machine knownMachine(long incarnation, long sequence) {
        Machine machine = new Machine("m-1", new NodePool("m8", "east", true), new Resources(8, 0, 64), 0);
        machine.recordHeartbeat(incarnation, sequence, null, nowMs);
        cluster.addMachine(machine);
        return machine;
    }

    @Test
    void acceptsNewerHeartbeatsWithTheCurrentToken() {
        knownMachine(1, 5);
        assertEquals(Decision.ACCEPT, validator.validate(heartbeat(1, 6, TERM)));
        assertEquals(Decision.ACCEPT, validator.validate(heartbeat(2, 0, TERM)));
    }

    @Test
    void refusesStaleHeartbeats() {
        knownMachine(2, 5);
        assertEquals(Decision.REFUSE, validator.validate(heartbeat(2, 5, TERM)));
        assertEquals(Decision.REFUSE, validator.validate(heartbeat(2, 4, TERM)));
        assertEquals(Decision.REFUSE, validator.validate(heartbeat(1, 9, TERM)));
    }

    @Test
    void refusesWorkersWithALaterToken() {
        assertEquals(Decision.REFUSE, validator.validate(heartbeat(1, 1, TERM + 1)));
    }

    @Test
    void sendsTokenToWorkersOfAFormerTerm() {
        assertEquals(Decision.SEND_TOKEN, validator.validate(heartbeat(1, 1, TERM - 1)));
    }

    @Test
    void acceptsWorkersThatNeverReceivedACommand() {
        assertEquals(Decision.ACCEPT, validator.validate(heartbeat(1, 1, 0)));
    }

    @Test
    void sendsTokenWhereAFormerLeaderMayHaveLaunchedTasks() {
        knownMachine(1, 0).markFormerLeaderLaunches();
        assertEquals(Decision.SEND_TOKEN, validator.validate(heartbeat(1, 1, 0)));
    }

    @Test
    void refusesRemovedMachines() {
        cluster.removeMachine(knownMachine(1, 0));
        assertEquals(Decision.REFUSE, validator.validate(heartbeat(1, 1, TERM)));
    }

    @Test
    void refusesHeartbeatsWhenCancellationReadIsStale() {
        nowMs += DEPLOYMENT.stalenessBoundMs(LEADER_LEASE_S);
        authority.extendLease(nowMs + LEASE_UNTIL_MS);
        assertEquals(Decision.REFUSE, validator.validate(heartbeat(1, 1, TERM)));
    }
}

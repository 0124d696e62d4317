package notchpick.coordination.leader.heartbeat;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import notchpick.coordination.Deployment;
import notchpick.coordination.TestDeployments;
import notchpick.coordination.leader.heartbeat.HeartbeatValidator.Verdict;
import notchpick.coordination.leader.term.LeaderAuthority;
import notchpick.model.ClusterState;
import notchpick.model.Machine;
import notchpick.protocol.WorkerProtocol.Heartbeat;
import notchpick.scheduling.NodePool;
import notchpick.scheduling.Resources;
import org.junit.jupiter.api.Test;

/** A heartbeat counts only under the leader's own fencing token, once, and in order. */
class HeartbeatValidatorTest {
    private static final long TERM = 4;
    private static final long LEASE_UNTIL_MS = 10_000;
    private static final double LEADER_LEASE_S = 3;
    private static final Deployment DEPLOYMENT = TestDeployments.deployment(TestDeployments.TIMING);

    private long now = 5000;
    private final ClusterState cluster = new ClusterState(ended -> {});
    private final LeaderAuthority authority =
            new LeaderAuthority(() -> now, DEPLOYMENT, LEADER_LEASE_S, LEASE_UNTIL_MS);
    private final HeartbeatValidator validator = new HeartbeatValidator(cluster, authority, TERM);

    HeartbeatValidatorTest() {
        authority.recordCompleteRead(now);
        authority.markRecovered();
    }

    private static Heartbeat heartbeat(long incarnation, long sequence, long fencingToken) {
        return new Heartbeat("m-1", "", "m8", "east", true, incarnation, sequence, fencingToken, null, List.of());
    }

    private Machine knownMachine(long incarnation, long sequence) {
        Machine machine = new Machine("m-1", new NodePool("m8", "east", true), new Resources(8, 0, 64), 0);
        machine.recordHeartbeat(incarnation, sequence, null, now);
        cluster.addMachine(machine);
        return machine;
    }

    @Test
    void acceptsTheNextHeartbeatUnderItsOwnToken() {
        knownMachine(1, 5);
        assertEquals(Verdict.ACCEPT, validator.validate(heartbeat(1, 6, TERM)));
        assertEquals(Verdict.ACCEPT, validator.validate(heartbeat(2, 0, TERM)));
    }

    @Test
    void refusesDuplicatesAndFormerIncarnations() {
        knownMachine(2, 5);
        assertEquals(Verdict.REFUSE, validator.validate(heartbeat(2, 5, TERM)));
        assertEquals(Verdict.REFUSE, validator.validate(heartbeat(2, 4, TERM)));
        assertEquals(Verdict.REFUSE, validator.validate(heartbeat(1, 9, TERM)));
    }

    @Test
    void refusesWorkersThatKnowALaterTerm() {
        assertEquals(Verdict.REFUSE, validator.validate(heartbeat(1, 1, TERM + 1)));
    }

    @Test
    void introducesItsTokenToWorkersOfAFormerTerm() {
        assertEquals(Verdict.INTRODUCE_TOKEN, validator.validate(heartbeat(1, 1, TERM - 1)));
    }

    @Test
    void acceptsWorkersThatNeverHadACommand() {
        assertEquals(Verdict.ACCEPT, validator.validate(heartbeat(1, 1, 0)));
    }

    @Test
    void introducesItsTokenWhereAFormerLeaderMayHaveLaunchedTasks() {
        knownMachine(1, 0).markFormerLeaderLaunches();
        assertEquals(Verdict.INTRODUCE_TOKEN, validator.validate(heartbeat(1, 1, 0)));
    }

    @Test
    void refusesMachinesThatTheCloudHasTakenBack() {
        cluster.removeMachine(knownMachine(1, 0));
        assertEquals(Verdict.REFUSE, validator.validate(heartbeat(1, 1, TERM)));
    }

    @Test
    void refusesAllOnceCancellationsAreUnreadForTooLong() {
        now += DEPLOYMENT.stalenessBoundMs(LEADER_LEASE_S);
        authority.extendLease(now + LEASE_UNTIL_MS);
        assertEquals(Verdict.REFUSE, validator.validate(heartbeat(1, 1, TERM)));
    }
}

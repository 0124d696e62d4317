package notchpick.coordination.leader.allocation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.AbstractList;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import notchpick.coordination.Deployment;
import notchpick.coordination.Deployment.Peer;
import notchpick.coordination.Deployment.Quota;
import notchpick.coordination.TestDeployments;
import notchpick.coordination.Tuning;
import notchpick.coordination.leader.term.LaunchCounters;
import notchpick.coordination.leader.term.LaunchGuard;
import notchpick.coordination.leader.term.TermContext;
import notchpick.coordination.membership.LinkMonitor;
import notchpick.coordination.membership.LocalStatus;
import notchpick.coordination.membership.PeerClient;
import notchpick.coordination.membership.PeerMembership;
import notchpick.coordination.membership.PeerRegistry;
import notchpick.model.ClusterState;
import notchpick.model.Job;
import notchpick.model.Machine;
import notchpick.model.MachineTypeCatalog;
import notchpick.model.TaskAssignment;
import notchpick.protocol.PeerProtocol;
import notchpick.protocol.peer.Envelope;
import notchpick.protocol.peer.Grant;
import notchpick.protocol.peer.LinkTable;
import notchpick.protocol.peer.Placed;
import notchpick.protocol.peer.Placements;
import notchpick.protocol.peer.Pulse;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.NodePool;
import notchpick.scheduling.Resources;
import notchpick.scheduling.RuntimeEstimator;
import notchpick.scheduling.TestJobs;
import notchpick.simulation.SimulatedTime;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller.Response;
import org.junit.jupiter.api.Test;

/**
 * Placements are accepted only from the holder of a lease that has not expired and only within what it covers, and the
 * cost of an allocation round is bounded.
 */
class ResourceAllocatorTest {
    private static final long TERM = 7;
    private final SimulatedTime simulation = new SimulatedTime();
    private final EventLoop loop = simulation.newEventLoop(0, 0, () -> true);
    private final ClusterState cluster = new ClusterState(over -> {});
    private final List<TaskAssignment> placedTasks = new ArrayList<>();
    private Grant granted;

    private final Deployment deployment = TestDeployments.deployment(
            TestDeployments.TIMING,
            List.of(new Peer("n-1", "b:2")),
            List.of(
                    new Quota("a", Resources.NONE, Resources.NONE),
                    new Quota("b", Resources.NONE, new Resources(4, 0, 0))));
    private final LinkMonitor links = new LinkMonitor(loop, deployment);
    private final PeerRegistry peerRegistry = new PeerRegistry(loop, deployment, links);
    private final PeerClient peerClient = new PeerClient(
            loop,
            deployment,
            (call, timeoutMs, then) -> {
                if (PeerProtocol.decode(call.body()) instanceof Grant grant) {
                    granted = grant;
                } else {
                    then.accept(Response.UNANSWERED);
                }
            },
            links);
    private final PeerMembership membership = new PeerMembership(
            loop,
            deployment,
            peerClient,
            peerRegistry,
            new LocalStatus() {
                @Override
                public Pulse heartbeat() {
                    return pulse("n-0");
                }

                @Override
                public LinkTable linkTable() {
                    return null;
                }
            },
            heartbeat -> {});
    private final MachineTypeCatalog machineTypes = new MachineTypeCatalog();
    private final TermContext context =
            new TermContext(TERM, loop, loop, deployment, cluster, machineTypes, new RuntimeEstimator());
    private final LaunchGuard launchGuard = new LaunchGuard(context, new LaunchCounters());
    private final ResourceLeases leases = new ResourceLeases(
            context, Tuning.DEFAULT, peerRegistry, peerClient, launchGuard, new ResourceLeases.Listener() {
                @Override
                public void taskPlaced(TaskAssignment assignment) {
                    placedTasks.add(assignment);
                }

                @Override
                public void resourcesReturned() {}
            });
    private final ResourceAllocator allocator = new ResourceAllocator(context, Tuning.DEFAULT, leases);

    ResourceAllocatorTest() {
        machineTypes.update(
                List.of(new MachineType("m8", new Resources(8, 0, 64), 100, 1, 1, 0.3, 2, List.of("east"))));
    }

    private static Pulse pulse(String node) {
        return new Pulse(node, TERM, "n-0", true, 0, List.of());
    }

    /** Adds a job of team b and runs a round, which leases resources for it to the live peer n-1. */
    private Job leaseToPeer(int tasks) {
        membership.tell(new PeerMembership.HeartbeatReceived(pulse("n-1")));
        addReadyMachine("m-1");
        Job job = new Job(TestJobs.job("run-1").team("b").tasks(tasks).build(), 1);
        cluster.addJob(job);
        simulation.runUntil(10);
        allocator.runRound();
        return job;
    }

    private Placements placements(String node, long lease, int... tasks) {
        List<Placed> placed = new ArrayList<>();
        for (int task : tasks) {
            placed.add(new Placed("run-1", task, "m-1"));
        }
        return new Placements(TERM, lease, node, placed);
    }

    @Test
    void leasesResourcesUpToTeamQuota() {
        leaseToPeer(6);
        assertEquals(4, granted.getRooms().get(0).getCores());
        assertEquals(TERM, granted.getLease() >> 24);
        leases.applyPlacements(placements("n-1", granted.getLease(), 0, 1, 2, 3));
        assertEquals(4, placedTasks.size());
        assertTrue(placedTasks.stream().allMatch(b -> b.attempt() == granted.getLease()));
    }

    @Test
    void refusesPlacementsOfWrongHolderLeaseOrTerm() {
        Job job = leaseToPeer(2);
        leases.applyPlacements(placements("n-2", granted.getLease(), 0));
        leases.applyPlacements(placements("n-1", granted.getLease() + 1, 0));
        leases.applyPlacements(new Placements(
                TERM - 1, granted.getLease(), "n-1", placements("n-1", 0, 0).getPlaced()));
        assertEquals(List.of(), placedTasks);
        assertEquals(2, job.leasedTasks());
    }

    @Test
    void refusesDuplicateAndUnleasedTasks() {
        leaseToPeer(2);
        leases.applyPlacements(placements("n-1", granted.getLease(), 0, 0, 5));
        assertEquals(1, placedTasks.size());
    }

    @Test
    void refusesPlacementsAfterLeaseExpiry() {
        Job job = leaseToPeer(2);
        simulation.runUntil(10 + Tuning.DEFAULT.resourceLeaseMs() + 1);
        assertEquals(2, job.pendingTasks());
        leases.applyPlacements(placements("n-1", granted.getLease(), 0));
        assertEquals(List.of(), placedTasks);
    }

    /** A list of machine types that contains every type and counts how often it is asked. */
    private static final class CountingTypes extends AbstractList<String> {
        private final AtomicInteger checks;

        CountingTypes(AtomicInteger checks) {
            this.checks = checks;
        }

        @Override
        public String get(int index) {
            return "m8";
        }

        @Override
        public int size() {
            return 1;
        }

        @Override
        public boolean contains(Object type) {
            checks.incrementAndGet();
            return true;
        }
    }

    private void addReadyMachine(String name) {
        Machine machine = new Machine(name, new NodePool("m8", "east", true), new Resources(8, 0, 64), loop.nowMs());
        machine.markReady(loop.nowMs());
        machine.setReconciled(true);
        cluster.addMachine(machine);
    }

    /** The cost must not grow with tasks x jobs x machines, which would be 400 million machine checks here. */
    @Test
    void roundCostGrowsWithGrantedTasks() {
        AtomicInteger checks = new AtomicInteger();
        List<String> countingTypes = new CountingTypes(checks);
        for (int i = 0; i < 1000; i++) {
            addReadyMachine("m-" + i);
        }
        int tasks = 0;
        for (int i = 0; i < 200; i++) {
            String id = "run-" + i;
            cluster.addJob(new Job(
                    TestJobs.job(id)
                            .tasks(10)
                            .types(countingTypes)
                            .image("i" + i % 10)
                            .build(),
                    1));
            tasks += 10;
        }
        allocator.runRound();
        assertEquals(tasks, placedTasks.size());
        assertTrue(checks.get() <= 12 * tasks, checks + " checks of machines for " + tasks + " tasks");
    }

    @Test
    void peerProtocolRoundTripsGrantAndRejectsInvalidBytes() {
        leaseToPeer(2);
        assertEquals(granted, PeerProtocol.decode(PeerProtocol.encode(granted)));
        assertEquals(null, PeerProtocol.decode(new byte[] {9, 9, 9}));
        assertEquals(pulse("x"), new Envelope(pulse("x")).getBody());
    }
}

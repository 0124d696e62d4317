package notchpick.coordination.leading;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.AbstractList;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import notchpick.bookkeeping.ClusterState;
import notchpick.bookkeeping.Job;
import notchpick.bookkeeping.Machine;
import notchpick.bookkeeping.TaskAssignment;
import notchpick.coordination.Deployment;
import notchpick.coordination.Deployment.Limit;
import notchpick.coordination.Deployment.Peer;
import notchpick.coordination.Tuning;
import notchpick.coordination.membership.Links;
import notchpick.coordination.membership.Peers;
import notchpick.protocol.PeerWire;
import notchpick.protocol.peer.Envelope;
import notchpick.protocol.peer.Grant;
import notchpick.protocol.peer.Placed;
import notchpick.protocol.peer.Placements;
import notchpick.protocol.peer.Pulse;
import notchpick.scheduling.Amounts;
import notchpick.scheduling.Estimates;
import notchpick.scheduling.FleetPlan.Pool;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.Objectives;
import notchpick.standin.Simulation;
import notchpick.transport.Caller.Answer;
import notchpick.transport.EventLoop;
import org.junit.jupiter.api.Test;

/** Only the holder of a current lease can place, and only within its room. */
class ResourceAllocatorTest {
    private static final long TERM = 7;
    private final Simulation simulation = new Simulation();
    private final EventLoop loop = simulation.loop(0, 0, () -> true);
    private final ClusterState cluster = new ClusterState(over -> {});
    private final List<TaskAssignment> bound = new ArrayList<>();
    private Grant granted;

    private final Deployment deployment = new Deployment(
            "n-0",
            "a:1",
            "a:2",
            List.of(new Peer("n-1", "b:2")),
            "c:1",
            "s:1",
            List.of("east"),
            List.of(new Limit("a", Amounts.NONE, Amounts.NONE), new Limit("b", Amounts.NONE, new Amounts(4, 0, 0))),
            Objectives.NONE,
            3,
            20,
            40,
            100,
            100,
            16 << 10,
            12,
            5,
            3,
            100);
    private final Peers peers = new Peers(
            loop,
            deployment,
            (call, timeoutMs, then) -> {
                if (PeerWire.body(call.body()) instanceof Grant grant) {
                    granted = grant;
                } else {
                    then.accept(Answer.NONE);
                }
            },
            () -> pulse("n-0"),
            pulse -> {},
            new Links(loop, deployment),
            () -> null);
    private final ResourceLeases leases = new ResourceLeases(
            loop, deployment, Tuning.DEFAULT, cluster, peers, TERM, bound::add, () -> {}, loop::after);
    private final ResourceAllocator allocator =
            new ResourceAllocator(loop, deployment, Tuning.DEFAULT, cluster, new Estimates(), leases, type -> 1);

    private static Pulse pulse(String node) {
        return new Pulse(node, TERM, "n-0", true, 0, List.of());
    }

    /** Team b's jobs are held by the peer, which is alive. */
    private Job leaseToPeer(int tasks) {
        peers.tell(new Peers.Heard(pulse("n-1")));
        Machine machine = new Machine("m-1", new Pool("m8", "east", true), new Amounts(8, 0, 64), loop.now());
        machine.life = Machine.Life.UP;
        machine.settled = true;
        cluster.machines.put("m-1", machine);
        Job job = new Job(
                new JobSpec(
                        "run-1",
                        "c",
                        "b",
                        JobSpec.Form.ARRAY,
                        JobSpec.Priority.NORMAL,
                        tasks,
                        new Amounts(1, 0, 1),
                        null,
                        null,
                        false,
                        false,
                        true,
                        "i",
                        1,
                        10,
                        0,
                        0,
                        null,
                        0),
                1);
        cluster.jobs.put("run-1", job);
        simulation.runUntil(10);
        allocator.round();
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
    void leasesRoomUpToTheTeamsLimit() {
        leaseToPeer(6);
        assertEquals(4, granted.getRooms().get(0).getCores());
        assertEquals(TERM, granted.getLease() >> 24);
        leases.returned(placements("n-1", granted.getLease(), 0, 1, 2, 3));
        assertEquals(4, bound.size());
        assertTrue(bound.stream().allMatch(b -> b.attempt == granted.getLease()));
    }

    @Test
    void refusesAnybodyButTheHolder() {
        Job job = leaseToPeer(2);
        leases.returned(placements("n-2", granted.getLease(), 0));
        leases.returned(placements("n-1", granted.getLease() + 1, 0));
        leases.returned(new Placements(
                TERM - 1, granted.getLease(), "n-1", placements("n-1", 0, 0).getPlaced()));
        assertEquals(List.of(), bound);
        assertEquals(2, job.leased.cardinality());
    }

    @Test
    void refusesWhatTheLeaseDoesNotCover() {
        leaseToPeer(2);
        leases.returned(placements("n-1", granted.getLease(), 0, 0, 5));
        assertEquals(1, bound.size());
    }

    @Test
    void aLapsedLeaseCoversNothing() {
        Job job = leaseToPeer(2);
        simulation.runUntil(10 + Tuning.DEFAULT.roomLeaseMs() + 1);
        assertEquals(2, job.pending.cardinality());
        leases.returned(placements("n-1", granted.getLease(), 0));
        assertEquals(List.of(), bound);
    }

    /** Not with tasks x jobs x machines: here that would be 400 million looks at a machine. */
    @Test
    void aRoundsWorkGrowsWithWhatItGrants() {
        AtomicInteger looks = new AtomicInteger();
        List<String> anyType = new AbstractList<>() {
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
                looks.incrementAndGet();
                return true;
            }
        };
        for (int i = 0; i < 1000; i++) {
            Machine machine = new Machine("m-" + i, new Pool("m8", "east", true), new Amounts(8, 0, 64), loop.now());
            machine.life = Machine.Life.UP;
            machine.settled = true;
            cluster.machines.put(machine.name, machine);
        }
        int tasks = 0;
        for (int i = 0; i < 200; i++) {
            String id = "run-" + i;
            cluster.jobs.put(
                    id,
                    new Job(
                            new JobSpec(
                                    id,
                                    "c",
                                    "a",
                                    JobSpec.Form.ARRAY,
                                    JobSpec.Priority.NORMAL,
                                    10,
                                    new Amounts(1, 0, 1),
                                    anyType,
                                    null,
                                    false,
                                    false,
                                    true,
                                    "i" + i % 10,
                                    1,
                                    10,
                                    0,
                                    0,
                                    null,
                                    0),
                            1));
            tasks += 10;
        }
        allocator.round();
        assertEquals(tasks, bound.size());
        assertTrue(looks.get() <= 12 * tasks, looks + " looks at machines for " + tasks + " tasks");
    }

    @Test
    void envelopesSurviveTheWire() {
        leaseToPeer(2);
        assertEquals(granted, PeerWire.body(PeerWire.bytes(granted)));
        assertEquals(null, PeerWire.body(new byte[] {9, 9, 9}));
        assertEquals(pulse("x"), new Envelope(pulse("x")).getBody());
    }
}

package notchpick.coordination.leader.heartbeat;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import notchpick.coordination.Deployment;
import notchpick.coordination.Deployment.Quota;
import notchpick.coordination.TestDeployments;
import notchpick.coordination.leader.heartbeat.HeartbeatHandler.AllocationRounds;
import notchpick.coordination.leader.term.LaunchCounters;
import notchpick.coordination.leader.term.LaunchGuard;
import notchpick.coordination.leader.term.LeaderAuthority;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.ClusterState;
import notchpick.model.Job;
import notchpick.model.Machine;
import notchpick.model.MachineTypeCatalog;
import notchpick.model.TaskAssignment;
import notchpick.model.TaskAssignment.Phase;
import notchpick.protocol.Json;
import notchpick.protocol.WorkerProtocol.ExitReason;
import notchpick.protocol.WorkerProtocol.Heartbeat;
import notchpick.protocol.WorkerProtocol.TaskPhase;
import notchpick.protocol.WorkerProtocol.TaskStatus;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.NodePool;
import notchpick.scheduling.Resources;
import notchpick.scheduling.RuntimeEstimator;
import notchpick.simulation.SimulatedTime;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller.Response;
import org.junit.jupiter.api.Test;

/** Which start commands the replies to heartbeats carry. */
class HeartbeatHandlerTest {
    private static final long TERM = 7;
    private static final long FORMER_TERM = 6;
    private static final long ATTEMPT = 5;
    private static final String JOB = "run-000001";
    private static final String TASK = "run-000001/0";
    private static final List<TaskStatus> NO_TASKS = List.of();
    private static final List<TaskStatus> RUNNING =
            List.of(new TaskStatus(TASK, JOB, 0, ATTEMPT, TaskPhase.RUNNING, null));
    private static final List<TaskStatus> STOPPED =
            List.of(new TaskStatus(TASK, JOB, 0, ATTEMPT, TaskPhase.EXITED, ExitReason.STOPPED));

    private final SimulatedTime time = new SimulatedTime();
    private final EventLoop loop = time.newEventLoop(0, 0, () -> true);
    private final ClusterState cluster = new ClusterState(ended -> {});
    private final MachineTypeCatalog machineTypes = new MachineTypeCatalog();
    private final Deployment deployment = TestDeployments.deployment(
            TestDeployments.TIMING, List.of(), List.of(new Quota("a", Resources.NONE, Resources.NONE)));
    private final TermContext context =
            new TermContext(TERM, loop, loop, deployment, cluster, machineTypes, new RuntimeEstimator());
    private final LeaderAuthority authority = new LeaderAuthority(loop::nowMs, deployment, 3, Long.MAX_VALUE / 2);
    private final LaunchCounters counters = new LaunchCounters();
    private final HeartbeatHandler handler = new HeartbeatHandler(
            context,
            authority,
            new LaunchGuard(context, counters),
            new MachineHealthMonitor(context),
            new TaskJournal() {
                @Override
                public void recordCompletion(Job job, int task) {}

                @Override
                public void recordAdoption(TaskAssignment assignment) {}
            },
            new AllocationRounds() {
                @Override
                public void request() {}

                @Override
                public long startedRounds() {
                    return 0;
                }
            });
    private final Job job = new Job(
            JobSpec.builder(JOB)
                    .team("a")
                    .tasks(2)
                    .demand(new Resources(1, 0, 1))
                    .zone("east")
                    .spot(true)
                    .build(),
            1);

    HeartbeatHandlerTest() {
        machineTypes.update(
                List.of(new MachineType("m8", new Resources(8, 0, 64), 100, 1, 1, 0.3, 10, List.of("east", "west"))));
        authority.markRecovered();
        cluster.addJob(job);
    }

    private Machine machine(String name) {
        Machine machine = new Machine(name, new NodePool("m8", "east", true), new Resources(8, 0, 64), loop.nowMs());
        cluster.addMachine(machine);
        return machine;
    }

    private static Heartbeat heartbeat(String zone, long sequence, long token, List<TaskStatus> tasks) {
        return new Heartbeat("m-1", "", "m8", zone, true, 1, sequence, token, null, tasks);
    }

    /** Sends the heartbeat and returns the reply, which may be given after a delay. */
    private Response send(Heartbeat heartbeat) {
        authority.recordCompleteRead(loop.nowMs());
        List<Response> replies = new ArrayList<>();
        handler.receive(heartbeat, replies::add);
        time.runUntil(time.nowMs() + 1000);
        assertEquals(1, replies.size(), "replies");
        return replies.get(0);
    }

    private static long starts(Response reply) {
        long starts = 0;
        for (JsonNode order : Json.object(reply.body()).path("orders")) {
            starts += order.path("orderKind").asText().equals("run") ? 1 : 0;
        }
        return starts;
    }

    @Test
    void copyOfHeartbeatIsNotAnsweredWithAnotherStart() {
        Heartbeat first = heartbeat("east", 1, TERM, NO_TASKS);
        cluster.assign(job.spec(), 0, machine("m-1"), ATTEMPT, Phase.DURABLE);
        assertEquals(1, starts(send(first)));
        for (List<TaskStatus> next : List.of(RUNNING, STOPPED, NO_TASKS)) {
            assertEquals(0, starts(send(first)), "copy");
            assertEquals(0, starts(send(heartbeat("east", 2 + time.nowMs(), TERM, next))), "later heartbeat");
            assertEquals(0, starts(send(first)), "copy after a later heartbeat");
        }
        cluster.removeJob(JOB);
        assertEquals(0, starts(send(first)), "copy after the job's end");
    }

    @Test
    void copyForTheNextLeaderStartsNothing() {
        cluster.assign(job.spec(), 0, machine("m-1"), ATTEMPT, Phase.DURABLE);
        assertEquals(0, starts(send(heartbeat("east", 1, FORMER_TERM, NO_TASKS))));
    }

    @Test
    void launchIsNotRepeatedAfterItsTaskHasMoved() {
        Heartbeat first = heartbeat("east", 1, TERM, NO_TASKS);
        Machine machine = machine("m-1");
        cluster.assign(job.spec(), 0, machine, ATTEMPT, Phase.DURABLE);
        assertEquals(1, starts(send(first)));
        cluster.unassignAll(machine);
        cluster.assign(job.spec(), 0, machine("m-2"), ATTEMPT + 1, Phase.SENT);
        assertEquals(0, starts(send(first)), "copy");
        assertEquals(0, starts(send(heartbeat("east", 2, TERM, NO_TASKS))), "later heartbeat");
    }

    @Test
    void heartbeatThatContradictsTheRecordedZoneStartsNothing() {
        Machine machine = machine("m-1");
        TaskAssignment planned = cluster.assign(job.spec(), 0, machine, ATTEMPT, Phase.DURABLE);
        assertEquals(0, starts(send(heartbeat("west", 1, TERM, NO_TASKS))));
        assertEquals("west", machine.zone());
        assertNull(machine.assignment(planned.taskName()));
        assertTrue(job.isTaskPending(0));
        assertEquals(1, counters.withdrawn());
    }

    @Test
    void heartbeatOfUnknownZoneChangesNothing() {
        Machine machine = machine("m-1");
        TaskAssignment planned = cluster.assign(job.spec(), 0, machine, ATTEMPT, Phase.DURABLE);
        assertEquals(400, send(heartbeat("north", 1, TERM, NO_TASKS)).status());
        assertEquals("east", machine.zone());
        assertNotNull(machine.assignment(planned.taskName()));
        assertEquals(1, starts(send(heartbeat("east", 2, TERM, NO_TASKS))));
    }
}

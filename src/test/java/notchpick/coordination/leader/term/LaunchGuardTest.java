package notchpick.coordination.leader.term;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import notchpick.coordination.Deployment.Peer;
import notchpick.coordination.Deployment.Quota;
import notchpick.coordination.TestDeployments;
import notchpick.coordination.leader.term.LaunchGuard.Refusal;
import notchpick.model.ClusterState;
import notchpick.model.Job;
import notchpick.model.Machine;
import notchpick.model.MachineTypeCatalog;
import notchpick.model.TaskAssignment;
import notchpick.model.TaskAssignment.Phase;
import notchpick.protocol.WorkerProtocol.StartTask;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.NodePool;
import notchpick.scheduling.Resources;
import notchpick.scheduling.RuntimeEstimator;
import notchpick.simulation.SimulatedTime;
import notchpick.transport.EventLoop;
import org.junit.jupiter.api.Test;

/** A task is launched only where its job allows, judged by what is known when the command is due. */
class LaunchGuardTest {
    private static final Resources ONE_CORE = new Resources(1, 0, 1);
    private static final long FIRST_ATTEMPT = 1;
    private static final long SECOND_ATTEMPT = 2;

    private final EventLoop loop = new SimulatedTime().newEventLoop(0, 0, () -> true);
    private final ClusterState cluster = new ClusterState(ended -> {});
    private final LaunchCounters counters = new LaunchCounters();
    private final LaunchGuard guard = new LaunchGuard(
            new TermContext(
                    7,
                    loop,
                    loop,
                    TestDeployments.deployment(
                            TestDeployments.TIMING,
                            List.of(new Peer("n-1", "b:2")),
                            List.of(new Quota("a", Resources.NONE, new Resources(8, 0, 0)))),
                    cluster,
                    new MachineTypeCatalog(),
                    new RuntimeEstimator()),
            counters);
    private final Machine east = machine("m-1", new NodePool("m8", "east", true));
    private final Machine west = machine("m-2", new NodePool("m8", "west", false));

    private Machine machine(String name, NodePool pool) {
        Machine machine = new Machine(name, pool, new Resources(8, 0, 64), 0);
        machine.markReady(0);
        cluster.addMachine(machine);
        return machine;
    }

    private static JobSpec.Builder spec() {
        return JobSpec.builder("run-000001").team("a").tasks(4).demand(ONE_CORE).spot(true);
    }

    private Job open(JobSpec spec) {
        Job job = new Job(spec, 1);
        cluster.addJob(job);
        return job;
    }

    private TaskAssignment assign(Job job, int task, Machine machine, Phase phase) {
        return cluster.assign(job.spec(), task, machine, FIRST_ATTEMPT, phase);
    }

    private static StartTask startOf(TaskAssignment assignment) {
        return new StartTask(assignment.taskName(), assignment.attempt());
    }

    @Test
    void colocatedJobMayStartNowhereWhileTwoZonesMayHaveTasks() {
        Job job = open(spec().colocated(true).build());
        assign(job, 0, east, Phase.INHERITED);
        assertEquals(Optional.empty(), guard.refusalOfPlacement(job, east));
        assertEquals(Optional.of(Refusal.ZONE_EXCLUDED), guard.refusalOfPlacement(job, west));
        assign(job, 1, west, Phase.REPORTED);
        assertEquals(Optional.of(Refusal.ZONE_EXCLUDED), guard.refusalOfPlacement(job, east));
        assertEquals(Optional.of(Refusal.ZONE_EXCLUDED), guard.refusalOfPlacement(job, west));
    }

    @Test
    void dueStartIsWithdrawnWhenTaskIsFoundInAnotherZone() {
        Job job = open(spec().colocated(true).build());
        TaskAssignment due = assign(job, 0, east, Phase.DURABLE);
        assertEquals(Optional.empty(), guard.refusalOfStart(due));
        assign(job, 1, west, Phase.REPORTED);
        assertEquals(Optional.of(Refusal.ZONE_EXCLUDED), guard.refusalOfStart(due));
        guard.withdraw(due, Refusal.ZONE_EXCLUDED);
        assertNull(east.assignment(due.taskName()));
        assertTrue(job.isTaskPending(0));
        assertEquals(1, counters.withdrawn());
    }

    @Test
    void startsThatAreNotSentYetDoNotExcludeEachOther() {
        Job job = open(spec().colocated(true).build());
        TaskAssignment inEast = assign(job, 0, east, Phase.DURABLE);
        TaskAssignment inWest = assign(job, 1, west, Phase.DURABLE);
        assertEquals(Optional.empty(), guard.refusalOfStart(inEast));
        inEast.markLaunchSent();
        assertEquals(Optional.of(Refusal.ZONE_EXCLUDED), guard.refusalOfStart(inWest));
    }

    @Test
    void spreadJobMayHaveAtMostHalfOfItsTasksInOneZone() {
        Job job = open(spec().spread(true).build());
        assign(job, 0, east, Phase.REPORTED);
        TaskAssignment due = assign(job, 1, east, Phase.DURABLE);
        assertEquals(Optional.empty(), guard.refusalOfStart(due));
        assign(job, 2, east, Phase.REPORTED);
        assertEquals(Optional.of(Refusal.ZONE_EXCLUDED), guard.refusalOfStart(due));
    }

    @Test
    void startNeedsMachineOfAllowedTypeZoneAndKind() {
        Job onDemand = open(spec().spot(false).build());
        assertEquals(Optional.of(Refusal.MACHINE_NOT_ALLOWED), guard.refusalOfPlacement(onDemand, east));
        assertEquals(Optional.empty(), guard.refusalOfPlacement(onDemand, west));
        Job bound = open(spec().zone("east").types(List.of("m8")).build());
        assertEquals(Optional.empty(), guard.refusalOfPlacement(bound, east));
        assertEquals(Optional.of(Refusal.MACHINE_NOT_ALLOWED), guard.refusalOfPlacement(bound, west));
        Job otherType = open(spec().types(List.of("g8")).build());
        assertEquals(Optional.of(Refusal.MACHINE_NOT_ALLOWED), guard.refusalOfPlacement(otherType, east));
    }

    @Test
    void dueStartNeedsOpenJobUnfinishedTaskQuotaAndUsableMachine() {
        Job job = open(spec().tasks(10).build());
        TaskAssignment due = assign(job, 0, east, Phase.DURABLE);
        assertEquals(Optional.empty(), guard.refusalOfStart(due));
        for (int task = 1; task <= 8; task++) {
            assign(job, task, west, Phase.REPORTED);
        }
        assertEquals(Optional.of(Refusal.QUOTA_EXCEEDED), guard.refusalOfStart(due));
        cluster.unassignAll(west);
        job.complete(0);
        assertEquals(Optional.of(Refusal.TASK_DONE), guard.refusalOfStart(due));
        TaskAssignment onReleased = assign(job, 1, west, Phase.DURABLE);
        west.release();
        assertEquals(Optional.of(Refusal.MACHINE_RELEASED), guard.refusalOfStart(onReleased));
        cluster.removeJob(job.id());
        assertEquals(Optional.of(Refusal.JOB_NOT_READY), guard.refusalOfStart(onReleased));
    }

    @Test
    void assertionWithholdsStartThatIsNotAllowed() {
        Job job = open(spec().colocated(true).build());
        TaskAssignment sent = assign(job, 0, east, Phase.SENT);
        assertTrue(guard.verifyStart(east, startOf(sent)));
        assign(job, 1, west, Phase.REPORTED);
        assertFalse(guard.verifyStart(east, startOf(sent)));
        assertEquals(1, counters.violations());
    }

    @Test
    void assertionWithholdsStartWithoutDueLaunch() {
        Job job = open(spec().build());
        TaskAssignment planned = assign(job, 0, east, Phase.PLANNED);
        assertFalse(guard.verifyStart(east, startOf(planned)));
        TaskAssignment sent = assign(job, 1, east, Phase.SENT);
        assertFalse(guard.verifyStart(east, new StartTask(sent.taskName(), SECOND_ATTEMPT)));
        assertFalse(guard.verifyStart(west, startOf(sent)));
        assertEquals(3, counters.violations());
    }
}

package notchpick.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import notchpick.model.TaskAssignment.Phase;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.NodePool;
import notchpick.scheduling.Resources;
import notchpick.scheduling.TestJobs;
import org.junit.jupiter.api.Test;

/** A launch command may be sent only once its record is durable, and only a sent launch can be reported. */
class TaskAssignmentTest {
    private static final long UNDISTURBED_MS = 35_000;

    private final Machine machine = new Machine("m-1", new NodePool("m8", "east", true), new Resources(8, 0, 64), 0);

    private TaskAssignment assignment(Phase phase) {
        JobSpec spec = TestJobs.job("run-1")
                .checkpointIntervalS(10)
                .checkpointWriteS(1.5)
                .build();
        return new TaskAssignment(spec, 0, machine, 7, phase);
    }

    @Test
    void passesThroughLaunchPhases() {
        TaskAssignment assignment = assignment(Phase.PLANNED);
        assertFalse(assignment.canBeOnWorker());
        assignment.markLaunchDurable();
        assertFalse(assignment.canBeOnWorker());
        assignment.markLaunchSent();
        assertTrue(assignment.canBeOnWorker());
        assignment.markReported(7);
        assertEquals(Phase.REPORTED, assignment.phase());
    }

    @Test
    void rejectsSendingBeforeRecordIsDurable() {
        assertThrows(
                IllegalStateException.class, () -> assignment(Phase.PLANNED).markLaunchSent());
    }

    @Test
    void rejectsReportBeforeLaunchIsSent() {
        assertThrows(
                IllegalStateException.class, () -> assignment(Phase.PLANNED).markReported(7));
        assertThrows(
                IllegalStateException.class, () -> assignment(Phase.DURABLE).markReported(7));
    }

    @Test
    void adoptsReportedAttemptOfInheritedTask() {
        TaskAssignment assignment = assignment(Phase.INHERITED);
        assignment.markReported(9);
        assertEquals(9, assignment.attempt());
    }

    @Test
    void isPreemptibleOnlyAfterUndisturbedRun() {
        TaskAssignment assignment = assignment(Phase.REPORTED);
        assertFalse(assignment.isPreemptible(UNDISTURBED_MS));
        assignment.markRunning(1000);
        assertFalse(assignment.isPreemptible(1000 + UNDISTURBED_MS - 1));
        assertTrue(assignment.isPreemptible(1000 + UNDISTURBED_MS));
    }

    @Test
    void isNotPreemptibleOnceStopIsRequested() {
        TaskAssignment assignment = assignment(Phase.REPORTED);
        assignment.markRunning(0);
        assignment.requestCheckpointAndStop();
        assertFalse(assignment.isPreemptible(UNDISTURBED_MS));
        assertEquals(2, assignment.stopGraceS());
    }

    @Test
    void stopsTaskOfEndedJobImmediately() {
        TaskAssignment assignment = assignment(Phase.REPORTED);
        assignment.requestCheckpointAndStop();
        assignment.requestImmediateStop(500);
        assertEquals(0, assignment.stopGraceS());
        assertEquals(500, assignment.jobOpenUntilMs());
    }
}

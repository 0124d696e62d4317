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

/** A launch command may be sent only once its record is durable, and only what was sent can be reported. */
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
    void aLaunchIsRecordedThenSentThenReported() {
        TaskAssignment assignment = assignment(Phase.PLANNED);
        assertFalse(assignment.mayBeOnWorker());
        assignment.launchRecorded();
        assertFalse(assignment.mayBeOnWorker());
        assignment.launchSent();
        assertTrue(assignment.mayBeOnWorker());
        assignment.reported(7);
        assertEquals(Phase.REPORTED, assignment.phase());
    }

    @Test
    void aLaunchThatIsNotDurableIsNotSent() {
        assertThrows(
                IllegalStateException.class, () -> assignment(Phase.PLANNED).launchSent());
    }

    @Test
    void aTaskThatWasNotSentCannotBeReported() {
        assertThrows(
                IllegalStateException.class, () -> assignment(Phase.PLANNED).reported(7));
        assertThrows(
                IllegalStateException.class, () -> assignment(Phase.DURABLE).reported(7));
    }

    @Test
    void anInheritedTaskTakesOverTheReportedAttempt() {
        TaskAssignment assignment = assignment(Phase.INHERITED);
        assignment.reported(9);
        assertEquals(9, assignment.attempt());
    }

    @Test
    void aTaskIsPreemptedOnlyAfterAnUndisturbedRun() {
        TaskAssignment assignment = assignment(Phase.REPORTED);
        assertFalse(assignment.mayBePreempted(UNDISTURBED_MS));
        assignment.startedRunning(1000);
        assertFalse(assignment.mayBePreempted(1000 + UNDISTURBED_MS - 1));
        assertTrue(assignment.mayBePreempted(1000 + UNDISTURBED_MS));
    }

    @Test
    void aTaskThatIsAlreadyStoppingIsNotPreempted() {
        TaskAssignment assignment = assignment(Phase.REPORTED);
        assignment.startedRunning(0);
        assignment.requestCheckpointAndStop();
        assertFalse(assignment.mayBePreempted(UNDISTURBED_MS));
        assertEquals(2, assignment.stopGraceS());
    }

    @Test
    void aTaskOfAnEndedJobStopsAtOnce() {
        TaskAssignment assignment = assignment(Phase.REPORTED);
        assignment.requestCheckpointAndStop();
        assignment.jobEnded(500);
        assertEquals(0, assignment.stopGraceS());
        assertEquals(500, assignment.jobOpenUntil());
    }
}

package notchpick.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.Resources;
import notchpick.scheduling.TestJobs;
import org.junit.jupiter.api.Test;

/** Every violation of a rule is found, and nothing else; otherwise the scenarios would show nothing. */
class InvariantCheckerTest {
    private long now;
    private final InvariantChecker invariants = new InvariantChecker(() -> now, 40_000, Map.of("a", 8.0));

    private void submit(JobSpec.Builder job) {
        invariants.submitted(job.build());
    }

    /** A job of class c and team a with one task of four cores, which may run anywhere. */
    static JobSpec.Builder job(String id) {
        return TestJobs.job(id)
                .demand(new Resources(4, 0, 1))
                .types(List.of("m8"))
                .estimateS(1);
    }

    private void submitAfter(String id, String dependency) {
        submit(job(id).dependencies(List.of(dependency)));
    }

    private void assertViolation(String rule) {
        assertEquals(
                1, invariants.violations().size(), () -> invariants.violations().toString());
        assertTrue(
                invariants.violations().get(0).startsWith(rule),
                () -> invariants.violations().toString());
    }

    @Test
    void taskOnTwoMachinesIsAViolation() {
        submit(job("run-1"));
        invariants.started("m-1", "run-1/0", "m8", "east", true);
        invariants.started("m-2", "run-1/0", "m8", "east", true);
        assertViolation("ran_twice");
    }

    @Test
    void teamAboveItsLimitIsAViolation() {
        submit(job("run-1").tasks(3));
        for (int task = 0; task < 3; task++) {
            invariants.started("m-1", "run-1/" + task, "m8", "east", true);
        }
        assertViolation("quota");
    }

    @Test
    void machineThatTheJobDoesNotAllowIsAViolation() {
        submit(job("run-1").spot(false));
        invariants.started("m-1", "run-1/0", "m8", "east", true);
        assertViolation("wrong_place");
    }

    @Test
    void jobOfOneZoneInTwoZonesIsAViolation() {
        submit(job("run-1").tasks(2).colocated(true));
        invariants.started("m-1", "run-1/0", "m8", "east", true);
        invariants.started("m-2", "run-1/1", "m8", "west", true);
        assertViolation("wrong_place");
    }

    @Test
    void spreadJobInOneZoneIsAViolation() {
        submit(job("run-1").tasks(2).spread(true));
        invariants.started("m-1", "run-1/0", "m8", "east", true);
        invariants.started("m-2", "run-1/1", "m8", "east", true);
        assertViolation("wrong_place");
    }

    @Test
    void taskRunningLongAfterItsCancellationIsAViolation() {
        submit(job("run-1"));
        invariants.started("m-1", "run-1/0", "m8", "east", true);
        invariants.cancelRequested("run-1");
        invariants.answered("run-1", 200, "cancelled");
        now = 39_000;
        assertEquals(List.of(), invariants.violations());
        now = 41_000;
        assertViolation("ran_cancelled");
    }

    @Test
    void acceptedJobNotFoundIsAViolation() {
        submit(job("run-1"));
        invariants.answered("run-1", 201, "queued");
        invariants.answered("run-1", 404, null);
        assertViolation("forgotten");
    }

    @Test
    void answerAboutAJobNeverSubmittedIsAViolation() {
        invariants.answered("run-9", 200, "queued");
        assertViolation("invented");
    }

    @Test
    void doneBeforeAllTasksCompletedIsAViolation() {
        submit(job("run-1").tasks(2));
        invariants.completed("run-1/0");
        invariants.answered("run-1", 200, "done");
        assertViolation("not_done");
    }

    @Test
    void leavingAFinalStateIsAViolation() {
        submit(job("run-1"));
        invariants.completed("run-1/0");
        invariants.answered("run-1", 200, "done");
        invariants.answered("run-1", 200, "running");
        assertViolation("went_back");
    }

    @Test
    void cancelledWithoutARequestIsAViolation() {
        submit(job("run-1"));
        invariants.answered("run-1", 200, "cancelled");
        assertViolation("went_back");
    }

    @Test
    void startBeforeADependencyIsDoneIsAViolation() {
        submit(job("run-1").tasks(2));
        submitAfter("run-2", "run-1");
        invariants.completed("run-1/0");
        invariants.started("m-1", "run-2/0", "m8", "east", true);
        assertViolation("too_early");
    }

    @Test
    void openJobLongAfterADependencyWasCancelledIsAViolation() {
        submit(job("run-1"));
        submitAfter("run-2", "run-1");
        submitAfter("run-3", "run-2");
        invariants.cancelRequested("run-1");
        invariants.answered("run-1", 200, "cancelled");
        now = 40_000;
        invariants.answered("run-3", 200, "queued");
        assertEquals(List.of(), invariants.violations());
        now = 40_001;
        invariants.answered("run-3", 200, "queued");
        assertViolation("orphaned");
    }

    @Test
    void cancellationOfADependencyCancelsTheJobForGood() {
        submit(job("run-1"));
        submitAfter("run-2", "run-1");
        invariants.cancelRequested("run-1");
        invariants.answered("run-2", 200, "cancelled");
        assertEquals(List.of(), invariants.violations());
        invariants.answered("run-2", 200, "queued");
        assertViolation("went_back");
    }

    private void assertNoViolation() {
        assertEquals(List.of(), invariants.violations());
    }

    private void accepted(String id) {
        submit(job(id));
        invariants.answered(id, 201, "queued");
    }

    @Test
    void lateStartOrderAfterACancellationIsAViolation() {
        accepted("run-1");
        invariants.cancelRequested("run-1");
        invariants.answered("run-1", 200, "cancelled");
        now = 4000;
        invariants.startOrdered("m-1", "run-1/0", 4000);
        assertNoViolation();
        now = 4001;
        invariants.startOrdered("m-1", "run-1/0", 4000);
        assertViolation("started_cancelled");
    }

    @Test
    void startsAfterACancellationAreCounted() {
        accepted("run-1");
        invariants.started("m-1", "run-1/0", "m8", "east", true);
        assertEquals(0, invariants.startsAfterCancel());
        invariants.stopped("m-1", "run-1/0");
        invariants.cancelRequested("run-1");
        invariants.answered("run-1", 200, "cancelled");
        invariants.started("m-1", "run-1/0", "m8", "east", true);
        assertEquals(1, invariants.startsAfterCancel());
        now = 3000;
        invariants.stopped("m-1", "run-1/0");
        assertEquals(3000, invariants.longestRunAfterCancelMs());
    }

    @Test
    void taskThatRunsOnAfterItsMachineHungIsAViolation() {
        accepted("run-1");
        invariants.started("m-1", "run-1/0", "m8", "east", true);
        invariants.cancelRequested("run-1");
        invariants.answered("run-1", 200, "cancelled");
        now = 40_000;
        invariants.stopped("m-1", "run-1/0");
        assertNoViolation();
        invariants.started("m-1", "run-1/0", "m8", "east", true);
        now = 40_001;
        invariants.stopped("m-1", "run-1/0");
        assertViolation("ran_cancelled");
    }

    @Test
    void answerBehindWhatAUserKnewIsAViolation() {
        accepted("run-1");
        invariants.completed("run-1/0");
        now = 10;
        invariants.answered("run-1", 200, "done", 6);
        // Requested before any user knew of the end: the answers overtook each other.
        now = 12;
        invariants.answered("run-1", 200, "running", 9);
        assertNoViolation();
        invariants.answered("run-1", 200, "running", 10);
        assertViolation("went_back");
    }

    @Test
    void notFoundAfterAnotherControllerAcceptedIsAViolation() {
        submit(job("run-1"));
        now = 10;
        invariants.answered("run-1", 201, "queued", 5);
        invariants.answered("run-1", 404, null, 9);
        assertNoViolation();
        invariants.answered("run-1", 404, null, 10);
        assertViolation("forgotten");
    }

    @Test
    void jobUnansweredAfterAllFaultsIsAViolation() {
        accepted("run-1");
        invariants.answered("run-1", 503, null);
        now = 200_000;
        invariants.answered("run-1", 503, null);
        invariants.faultsOver();
        now = 275_000;
        invariants.answered("run-1", 503, null);
        assertNoViolation();
        now = 275_001;
        invariants.answered("run-1", 503, null);
        assertViolation("forgotten");
    }

    @Test
    void jobLeftWaitingAfterAllFaultsIsAViolation() {
        accepted("run-1");
        invariants.waits("run-1", true);
        now = 100_000;
        invariants.faultsOver();
        invariants.waits("run-1", true);
        now = 150_000;
        // For a moment it could not have started.
        invariants.waits("run-1", false);
        invariants.waits("run-1", true);
        now = 240_000;
        invariants.waits("run-1", true);
        assertNoViolation();
        now = 240_001;
        invariants.waits("run-1", true);
        assertViolation("left_waiting");
    }

    @Test
    void acceptedInvalidSubmissionIsAViolation() {
        invariants.submittedInvalid("run-1");
        invariants.answered("run-1", 422, null);
        invariants.answered("run-1", 400, null);
        invariants.answered("run-1", 503, null);
        assertNoViolation();
        invariants.answered("run-1", 201, "queued");
        assertViolation("accepted_unfit");
    }

    @Test
    void startsWithinTheRulesAreNoViolation() {
        submit(job("run-1"));
        invariants.started("m-1", "run-1/0", "m8", "east", true);
        invariants.stopped("m-1", "run-1/0");
        // It had left its first machine, so it has not run twice; two tasks of four cores are what the team may hold.
        invariants.started("m-2", "run-1/0", "m8", "west", true);
        submit(job("run-2").spot(false));
        invariants.started("m-3", "run-2/0", "m8", "east", false);
        assertNoViolation();
    }

    @Test
    void placementsWithinTheRulesAreNoViolation() {
        submit(job("run-1").tasks(2).colocated(true));
        invariants.started("m-1", "run-1/0", "m8", "east", true);
        invariants.started("m-2", "run-1/1", "m8", "east", true);
        invariants.stopped("m-1", "run-1/0");
        invariants.stopped("m-2", "run-1/1");
        // No task of the job is left in the first zone, so that any zone may be the next.
        invariants.started("m-3", "run-1/1", "m8", "west", true);
        invariants.stopped("m-3", "run-1/1");
        submit(job("run-2").tasks(2).spread(true));
        invariants.started("m-1", "run-2/0", "m8", "east", true);
        invariants.started("m-3", "run-2/1", "m8", "west", true);
        assertNoViolation();
    }

    @Test
    void answersWithinTheRulesAreNoViolation() {
        accepted("run-1");
        invariants.answered("run-1", 503, null);
        invariants.answered("run-1", 200, "running");
        invariants.answered("run-9", 404, null);
        invariants.started("m-1", "run-1/0", "m8", "east", true);
        invariants.stopped("m-1", "run-1/0");
        invariants.completed("run-1/0");
        invariants.answered("run-1", 200, "done");
        invariants.answered("run-1", 200, "done");
        accepted("run-2");
        invariants.cancelRequested("run-2");
        invariants.answered("run-2", 200, "queued");
        invariants.answered("run-2", 200, "cancelled");
        submitAfter("run-3", "run-1");
        invariants.started("m-1", "run-3/0", "m8", "east", true);
        assertNoViolation();
    }

    @Test
    void startOrdersAfterACancellationAreMeasured() {
        accepted("run-1");
        invariants.startOrdered("m-1", "run-1/0", 4000);
        assertEquals(0, invariants.startOrdersAfterCancel());
        now = 1000;
        invariants.cancelRequested("run-1");
        invariants.answered("run-1", 200, "cancelled");
        now = 3500;
        invariants.startOrdered("m-1", "run-1/0", 4000);
        assertEquals(1, invariants.startOrdersAfterCancel());
        assertEquals(2500, invariants.longestStartOrderAfterCancelMs());
        assertNoViolation();
    }
}

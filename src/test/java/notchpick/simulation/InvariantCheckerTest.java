package notchpick.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.Resources;
import notchpick.scheduling.TestJobs;
import org.junit.jupiter.api.Test;

/** The checker reports each violation and nothing else; otherwise a scenario without violations proves nothing. */
class InvariantCheckerTest {
    private long nowMs;
    private final InvariantChecker invariants = new InvariantChecker(() -> nowMs, 40_000, Map.of("a", 8.0));

    private void submit(JobSpec.Builder job) {
        invariants.recordSubmission(job.build());
    }

    /** A job of class c and team a with one task of four cores, which may run in any zone. */
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
        invariants.recordStart("m-1", "run-1/0", "m8", "east", true);
        invariants.recordStart("m-2", "run-1/0", "m8", "east", true);
        assertViolation("ran_twice");
    }

    @Test
    void teamAboveItsLimitIsAViolation() {
        submit(job("run-1").tasks(3));
        for (int task = 0; task < 3; task++) {
            invariants.recordStart("m-1", "run-1/" + task, "m8", "east", true);
        }
        assertViolation("quota_exceeded");
    }

    @Test
    void machineThatTheJobDoesNotAllowIsAViolation() {
        submit(job("run-1").spot(false));
        invariants.recordStart("m-1", "run-1/0", "m8", "east", true);
        assertViolation("invalid_placement");
    }

    @Test
    void jobOfOneZoneInTwoZonesIsAViolation() {
        submit(job("run-1").tasks(2).colocated(true));
        invariants.recordStart("m-1", "run-1/0", "m8", "east", true);
        invariants.recordStart("m-2", "run-1/1", "m8", "west", true);
        assertViolation("invalid_placement");
    }

    @Test
    void spreadJobInOneZoneIsAViolation() {
        submit(job("run-1").tasks(2).spread(true));
        invariants.recordStart("m-1", "run-1/0", "m8", "east", true);
        invariants.recordStart("m-2", "run-1/1", "m8", "east", true);
        assertViolation("invalid_placement");
    }

    @Test
    void taskRunningLongAfterItsCancellationIsAViolation() {
        submit(job("run-1"));
        invariants.recordStart("m-1", "run-1/0", "m8", "east", true);
        invariants.recordCancelRequest("run-1");
        invariants.recordAnswer("run-1", 200, "cancelled");
        nowMs = 39_000;
        assertEquals(List.of(), invariants.violations());
        nowMs = 41_000;
        assertViolation("ran_cancelled");
    }

    @Test
    void acceptedJobNotFoundIsAViolation() {
        submit(job("run-1"));
        invariants.recordAnswer("run-1", 201, "queued");
        invariants.recordAnswer("run-1", 404, null);
        assertViolation("job_lost");
    }

    @Test
    void answerAboutAJobNeverSubmittedIsAViolation() {
        invariants.recordAnswer("run-9", 200, "queued");
        assertViolation("unknown_job");
    }

    @Test
    void doneBeforeAllTasksCompletedIsAViolation() {
        submit(job("run-1").tasks(2));
        invariants.recordCompletion("run-1/0");
        invariants.recordAnswer("run-1", 200, "done");
        assertViolation("reported_done_early");
    }

    @Test
    void leavingAFinalStateIsAViolation() {
        submit(job("run-1"));
        invariants.recordCompletion("run-1/0");
        invariants.recordAnswer("run-1", 200, "done");
        invariants.recordAnswer("run-1", 200, "running");
        assertViolation("invalid_transition");
    }

    @Test
    void cancelledWithoutARequestIsAViolation() {
        submit(job("run-1"));
        invariants.recordAnswer("run-1", 200, "cancelled");
        assertViolation("invalid_transition");
    }

    @Test
    void startBeforeADependencyIsDoneIsAViolation() {
        submit(job("run-1").tasks(2));
        submitAfter("run-2", "run-1");
        invariants.recordCompletion("run-1/0");
        invariants.recordStart("m-1", "run-2/0", "m8", "east", true);
        assertViolation("dependency_not_done");
    }

    @Test
    void openJobPastCancelTimeoutOfADependencyIsAViolation() {
        submit(job("run-1"));
        submitAfter("run-2", "run-1");
        submitAfter("run-3", "run-2");
        invariants.recordCancelRequest("run-1");
        invariants.recordAnswer("run-1", 200, "cancelled");
        nowMs = 40_000;
        invariants.recordAnswer("run-3", 200, "queued");
        assertEquals(List.of(), invariants.violations());
        nowMs = 40_001;
        invariants.recordAnswer("run-3", 200, "queued");
        assertViolation("orphaned");
    }

    @Test
    void jobCancelledThroughADependencyStaysCancelled() {
        submit(job("run-1"));
        submitAfter("run-2", "run-1");
        invariants.recordCancelRequest("run-1");
        invariants.recordAnswer("run-2", 200, "cancelled");
        assertEquals(List.of(), invariants.violations());
        invariants.recordAnswer("run-2", 200, "queued");
        assertViolation("invalid_transition");
    }

    private void assertNoViolation() {
        assertEquals(List.of(), invariants.violations());
    }

    private void submitAccepted(String id) {
        submit(job(id));
        invariants.recordAnswer(id, 201, "queued");
    }

    @Test
    void lateStartOrderAfterACancellationIsAViolation() {
        submitAccepted("run-1");
        invariants.recordCancelRequest("run-1");
        invariants.recordAnswer("run-1", 200, "cancelled");
        nowMs = 4000;
        invariants.recordStartOrder("m-1", "run-1/0", 4000);
        assertNoViolation();
        nowMs = 4001;
        invariants.recordStartOrder("m-1", "run-1/0", 4000);
        assertViolation("started_cancelled");
    }

    @Test
    void startsAfterACancellationAreCounted() {
        submitAccepted("run-1");
        invariants.recordStart("m-1", "run-1/0", "m8", "east", true);
        assertEquals(0, invariants.startsAfterCancel());
        invariants.recordStop("m-1", "run-1/0");
        invariants.recordCancelRequest("run-1");
        invariants.recordAnswer("run-1", 200, "cancelled");
        invariants.recordStart("m-1", "run-1/0", "m8", "east", true);
        assertEquals(1, invariants.startsAfterCancel());
        nowMs = 3000;
        invariants.recordStop("m-1", "run-1/0");
        assertEquals(3000, invariants.longestRunAfterCancelMs());
    }

    @Test
    void taskRestartedAfterCancellationIsAViolationOnceOverdue() {
        submitAccepted("run-1");
        invariants.recordStart("m-1", "run-1/0", "m8", "east", true);
        invariants.recordCancelRequest("run-1");
        invariants.recordAnswer("run-1", 200, "cancelled");
        nowMs = 40_000;
        invariants.recordStop("m-1", "run-1/0");
        assertNoViolation();
        invariants.recordStart("m-1", "run-1/0", "m8", "east", true);
        nowMs = 40_001;
        invariants.recordStop("m-1", "run-1/0");
        assertViolation("ran_cancelled");
    }

    @Test
    void answerOlderThanTheStateAtRequestTimeIsAViolation() {
        submitAccepted("run-1");
        invariants.recordCompletion("run-1/0");
        nowMs = 10;
        invariants.recordAnswer("run-1", 200, "done", 6);
        // This request was sent before any user received the final state, so its answer may show an older state.
        nowMs = 12;
        invariants.recordAnswer("run-1", 200, "running", 9);
        assertNoViolation();
        invariants.recordAnswer("run-1", 200, "running", 10);
        assertViolation("invalid_transition");
    }

    @Test
    void notFoundAfterAnotherControllerAcceptedIsAViolation() {
        submit(job("run-1"));
        nowMs = 10;
        invariants.recordAnswer("run-1", 201, "queued", 5);
        invariants.recordAnswer("run-1", 404, null, 9);
        assertNoViolation();
        invariants.recordAnswer("run-1", 404, null, 10);
        assertViolation("job_lost");
    }

    @Test
    void jobUnansweredAfterAllFaultsIsAViolation() {
        submitAccepted("run-1");
        invariants.recordAnswer("run-1", 503, null);
        nowMs = 200_000;
        invariants.recordAnswer("run-1", 503, null);
        invariants.recordFaultsOver();
        nowMs = 275_000;
        invariants.recordAnswer("run-1", 503, null);
        assertNoViolation();
        nowMs = 275_001;
        invariants.recordAnswer("run-1", 503, null);
        assertViolation("job_lost");
    }

    @Test
    void jobLeftWaitingAfterAllFaultsIsAViolation() {
        submitAccepted("run-1");
        invariants.recordWaitingJob("run-1", true);
        nowMs = 100_000;
        invariants.recordFaultsOver();
        invariants.recordWaitingJob("run-1", true);
        nowMs = 150_000;
        // One report that the job could not start resets the waiting time.
        invariants.recordWaitingJob("run-1", false);
        invariants.recordWaitingJob("run-1", true);
        nowMs = 240_000;
        invariants.recordWaitingJob("run-1", true);
        assertNoViolation();
        nowMs = 240_001;
        invariants.recordWaitingJob("run-1", true);
        assertViolation("left_waiting");
    }

    @Test
    void acceptedInvalidSubmissionIsAViolation() {
        invariants.recordInvalidSubmission("run-1");
        invariants.recordAnswer("run-1", 422, null);
        invariants.recordAnswer("run-1", 400, null);
        invariants.recordAnswer("run-1", 503, null);
        assertNoViolation();
        invariants.recordAnswer("run-1", 201, "queued");
        assertViolation("accepted_invalid");
    }

    @Test
    void startsWithinTheRulesAreNoViolation() {
        submit(job("run-1"));
        invariants.recordStart("m-1", "run-1/0", "m8", "east", true);
        invariants.recordStop("m-1", "run-1/0");
        // The task has left its first machine, so it does not run twice; two tasks of four cores reach the team's limit
        // exactly.
        invariants.recordStart("m-2", "run-1/0", "m8", "west", true);
        submit(job("run-2").spot(false));
        invariants.recordStart("m-3", "run-2/0", "m8", "east", false);
        assertNoViolation();
    }

    @Test
    void placementsWithinTheRulesAreNoViolation() {
        submit(job("run-1").tasks(2).colocated(true));
        invariants.recordStart("m-1", "run-1/0", "m8", "east", true);
        invariants.recordStart("m-2", "run-1/1", "m8", "east", true);
        invariants.recordStop("m-1", "run-1/0");
        invariants.recordStop("m-2", "run-1/1");
        // No task of the job runs in the first zone any more, so the job may move to another zone.
        invariants.recordStart("m-3", "run-1/1", "m8", "west", true);
        invariants.recordStop("m-3", "run-1/1");
        submit(job("run-2").tasks(2).spread(true));
        invariants.recordStart("m-1", "run-2/0", "m8", "east", true);
        invariants.recordStart("m-3", "run-2/1", "m8", "west", true);
        assertNoViolation();
    }

    @Test
    void answersWithinTheRulesAreNoViolation() {
        submitAccepted("run-1");
        invariants.recordAnswer("run-1", 503, null);
        invariants.recordAnswer("run-1", 200, "running");
        invariants.recordAnswer("run-9", 404, null);
        invariants.recordStart("m-1", "run-1/0", "m8", "east", true);
        invariants.recordStop("m-1", "run-1/0");
        invariants.recordCompletion("run-1/0");
        invariants.recordAnswer("run-1", 200, "done");
        invariants.recordAnswer("run-1", 200, "done");
        submitAccepted("run-2");
        invariants.recordCancelRequest("run-2");
        invariants.recordAnswer("run-2", 200, "queued");
        invariants.recordAnswer("run-2", 200, "cancelled");
        submitAfter("run-3", "run-1");
        invariants.recordStart("m-1", "run-3/0", "m8", "east", true);
        assertNoViolation();
    }

    @Test
    void startOrdersAfterACancellationAreMeasured() {
        submitAccepted("run-1");
        invariants.recordStartOrder("m-1", "run-1/0", 4000);
        assertEquals(0, invariants.startOrdersAfterCancel());
        nowMs = 1000;
        invariants.recordCancelRequest("run-1");
        invariants.recordAnswer("run-1", 200, "cancelled");
        nowMs = 3500;
        invariants.recordStartOrder("m-1", "run-1/0", 4000);
        assertEquals(1, invariants.startOrdersAfterCancel());
        assertEquals(2500, invariants.longestStartOrderAfterCancelMs());
        assertNoViolation();
    }
}

package notchpick.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.Resources;
import notchpick.scheduling.TestJobs;
import org.junit.jupiter.api.Test;

/** Each check of a rule can fail; otherwise the scenarios would show nothing. */
class InvariantCheckerTest {
    private long now;
    private final InvariantChecker invariants = new InvariantChecker(() -> now, 40_000, Map.of("a", 8.0));

    private void submit(String id, int tasks, boolean oneZone, boolean spread, boolean spot) {
        invariants.submitted(job(id, tasks, oneZone, spread, spot));
    }

    /** A job of class c and team a, whose tasks take four cores each. */
    static JobSpec job(String id, int tasks, boolean oneZone, boolean spread, boolean spot) {
        return TestJobs.job(id)
                .tasks(tasks)
                .demand(new Resources(4, 0, 1))
                .types(List.of("m8"))
                .oneZone(oneZone)
                .spread(spread)
                .spot(spot)
                .estimateS(1)
                .build();
    }

    private void submitAfter(String id, String need) {
        invariants.submitted(TestJobs.job(id)
                .demand(new Resources(4, 0, 1))
                .types(List.of("m8"))
                .estimateS(1)
                .dependencies(List.of(need))
                .build());
    }

    private void assertViolation(String rule) {
        assertEquals(
                1, invariants.violations().size(), () -> invariants.violations().toString());
        assertTrue(
                invariants.violations().get(0).startsWith(rule),
                () -> invariants.violations().toString());
    }

    @Test
    void ranTwice() {
        submit("run-1", 1, false, false, true);
        invariants.started("m-1", "run-1/0", "m8", "east", true);
        invariants.started("m-2", "run-1/0", "m8", "east", true);
        assertViolation("ran_twice");
    }

    @Test
    void quota() {
        submit("run-1", 3, false, false, true);
        for (int task = 0; task < 3; task++) {
            invariants.started("m-1", "run-1/" + task, "m8", "east", true);
        }
        assertViolation("quota");
    }

    @Test
    void wrongPlaceByTypeZoneOrKind() {
        submit("run-1", 1, false, false, false);
        invariants.started("m-1", "run-1/0", "m8", "east", true);
        assertViolation("wrong_place");
    }

    @Test
    void wrongPlaceByFellows() {
        submit("run-1", 2, true, false, true);
        invariants.started("m-1", "run-1/0", "m8", "east", true);
        invariants.started("m-2", "run-1/1", "m8", "west", true);
        assertViolation("wrong_place");
    }

    @Test
    void wrongPlaceBySpread() {
        submit("run-1", 2, false, true, true);
        invariants.started("m-1", "run-1/0", "m8", "east", true);
        invariants.started("m-2", "run-1/1", "m8", "east", true);
        assertViolation("wrong_place");
    }

    @Test
    void ranCancelled() {
        submit("run-1", 1, false, false, true);
        invariants.started("m-1", "run-1/0", "m8", "east", true);
        invariants.cancelRequested("run-1");
        invariants.answered("run-1", 200, "cancelled");
        now = 39_000;
        assertEquals(List.of(), invariants.violations());
        now = 41_000;
        assertViolation("ran_cancelled");
    }

    @Test
    void forgotten() {
        submit("run-1", 1, false, false, true);
        invariants.answered("run-1", 201, "queued");
        invariants.answered("run-1", 404, null);
        assertViolation("forgotten");
    }

    @Test
    void invented() {
        invariants.answered("run-9", 200, "queued");
        assertViolation("invented");
    }

    @Test
    void notDone() {
        submit("run-1", 2, false, false, true);
        invariants.completed("run-1/0");
        invariants.answered("run-1", 200, "done");
        assertViolation("not_done");
    }

    @Test
    void wentBack() {
        submit("run-1", 1, false, false, true);
        invariants.completed("run-1/0");
        invariants.answered("run-1", 200, "done");
        invariants.answered("run-1", 200, "running");
        assertViolation("went_back");
    }

    @Test
    void cancelledByNobody() {
        submit("run-1", 1, false, false, true);
        invariants.answered("run-1", 200, "cancelled");
        assertViolation("went_back");
    }

    @Test
    void tooEarly() {
        submit("run-1", 2, false, false, true);
        submitAfter("run-2", "run-1");
        invariants.completed("run-1/0");
        invariants.started("m-1", "run-2/0", "m8", "east", true);
        assertViolation("too_early");
    }

    @Test
    void orphaned() {
        submit("run-1", 1, false, false, true);
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
    void cancelledForWhatItNeeds() {
        submit("run-1", 1, false, false, true);
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
        submit(id, 1, false, false, true);
        invariants.answered(id, 201, "queued");
    }

    @Test
    void startedAfterACancellation() {
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
    void goesOnAfterItsMachineHung() {
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
    void olderThanAnotherNodesAnswer() {
        accepted("run-1");
        invariants.completed("run-1/0");
        now = 10;
        invariants.answered("run-1", 200, "done", 6);
        // Asked before anybody had been told: the answers have crossed.
        now = 12;
        invariants.answered("run-1", 200, "running", 9);
        assertNoViolation();
        invariants.answered("run-1", 200, "running", 10);
        assertViolation("went_back");
    }

    @Test
    void notFoundThoughAnotherNodeAccepted() {
        submit("run-1", 1, false, false, true);
        now = 10;
        invariants.answered("run-1", 201, "queued", 5);
        invariants.answered("run-1", 404, null, 9);
        assertNoViolation();
        invariants.answered("run-1", 404, null, 10);
        assertViolation("forgotten");
    }

    @Test
    void silentAfterTheTroubles() {
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
    void leftWaiting() {
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
    void acceptedThoughUnfit() {
        invariants.submittedInvalid("run-1");
        invariants.answered("run-1", 422, null);
        invariants.answered("run-1", 400, null);
        invariants.answered("run-1", 503, null);
        assertNoViolation();
        invariants.answered("run-1", 201, "queued");
        assertViolation("accepted_unfit");
    }

    @Test
    void lawfulStarts() {
        submit("run-1", 1, false, false, true);
        invariants.started("m-1", "run-1/0", "m8", "east", true);
        invariants.stopped("m-1", "run-1/0");
        // It had left its first machine, so it has not run twice; two tasks of four cores are what the team may hold.
        invariants.started("m-2", "run-1/0", "m8", "west", true);
        submit("run-2", 1, false, false, false);
        invariants.started("m-3", "run-2/0", "m8", "east", false);
        assertNoViolation();
    }

    @Test
    void lawfulPlacesAmongFellows() {
        submit("run-1", 2, true, false, true);
        invariants.started("m-1", "run-1/0", "m8", "east", true);
        invariants.started("m-2", "run-1/1", "m8", "east", true);
        invariants.stopped("m-1", "run-1/0");
        invariants.stopped("m-2", "run-1/1");
        // All its fellows have gone from the one zone, so that any may be the next.
        invariants.started("m-3", "run-1/1", "m8", "west", true);
        invariants.stopped("m-3", "run-1/1");
        submit("run-2", 2, false, true, true);
        invariants.started("m-1", "run-2/0", "m8", "east", true);
        invariants.started("m-3", "run-2/1", "m8", "west", true);
        assertNoViolation();
    }

    @Test
    void lawfulAnswers() {
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
    void ordersAfterACancellationAreMeasured() {
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

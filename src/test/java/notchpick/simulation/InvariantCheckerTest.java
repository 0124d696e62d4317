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
    private final InvariantChecker rules = new InvariantChecker(() -> now, 40_000, Map.of("a", 8.0));

    private void submit(String id, int tasks, boolean colocated, boolean spread, boolean spot) {
        rules.submitted(job(id, tasks, colocated, spread, spot));
    }

    /** A job of class c and team a, whose tasks take four cores each. */
    static JobSpec job(String id, int tasks, boolean colocated, boolean spread, boolean spot) {
        return TestJobs.job(id)
                .tasks(tasks)
                .demand(new Resources(4, 0, 1))
                .types(List.of("m8"))
                .colocated(colocated)
                .spread(spread)
                .spot(spot)
                .estimateS(1)
                .build();
    }

    private void submitAfter(String id, String need) {
        rules.submitted(TestJobs.job(id)
                .demand(new Resources(4, 0, 1))
                .types(List.of("m8"))
                .estimateS(1)
                .dependencies(List.of(need))
                .build());
    }

    private void broken(String rule) {
        assertEquals(1, rules.breaches().size(), () -> rules.breaches().toString());
        assertTrue(
                rules.breaches().get(0).startsWith(rule), () -> rules.breaches().toString());
    }

    @Test
    void ranTwice() {
        submit("run-1", 1, false, false, true);
        rules.started("m-1", "run-1/0", "m8", "east", true);
        rules.started("m-2", "run-1/0", "m8", "east", true);
        broken("ran_twice");
    }

    @Test
    void quota() {
        submit("run-1", 3, false, false, true);
        for (int task = 0; task < 3; task++) {
            rules.started("m-1", "run-1/" + task, "m8", "east", true);
        }
        broken("quota");
    }

    @Test
    void wrongPlaceByTypeZoneOrKind() {
        submit("run-1", 1, false, false, false);
        rules.started("m-1", "run-1/0", "m8", "east", true);
        broken("wrong_place");
    }

    @Test
    void wrongPlaceByFellows() {
        submit("run-1", 2, true, false, true);
        rules.started("m-1", "run-1/0", "m8", "east", true);
        rules.started("m-2", "run-1/1", "m8", "west", true);
        broken("wrong_place");
    }

    @Test
    void wrongPlaceBySpread() {
        submit("run-1", 2, false, true, true);
        rules.started("m-1", "run-1/0", "m8", "east", true);
        rules.started("m-2", "run-1/1", "m8", "east", true);
        broken("wrong_place");
    }

    @Test
    void ranCancelled() {
        submit("run-1", 1, false, false, true);
        rules.started("m-1", "run-1/0", "m8", "east", true);
        rules.cancelAsked("run-1");
        rules.answered("run-1", 200, "cancelled");
        now = 39_000;
        assertEquals(List.of(), rules.breaches());
        now = 41_000;
        broken("ran_cancelled");
    }

    @Test
    void forgotten() {
        submit("run-1", 1, false, false, true);
        rules.answered("run-1", 201, "queued");
        rules.answered("run-1", 404, null);
        broken("forgotten");
    }

    @Test
    void invented() {
        rules.answered("run-9", 200, "queued");
        broken("invented");
    }

    @Test
    void notDone() {
        submit("run-1", 2, false, false, true);
        rules.completed("run-1/0");
        rules.answered("run-1", 200, "done");
        broken("not_done");
    }

    @Test
    void wentBack() {
        submit("run-1", 1, false, false, true);
        rules.completed("run-1/0");
        rules.answered("run-1", 200, "done");
        rules.answered("run-1", 200, "running");
        broken("went_back");
    }

    @Test
    void cancelledByNobody() {
        submit("run-1", 1, false, false, true);
        rules.answered("run-1", 200, "cancelled");
        broken("went_back");
    }

    @Test
    void tooEarly() {
        submit("run-1", 2, false, false, true);
        submitAfter("run-2", "run-1");
        rules.completed("run-1/0");
        rules.started("m-1", "run-2/0", "m8", "east", true);
        broken("too_early");
    }

    @Test
    void orphaned() {
        submit("run-1", 1, false, false, true);
        submitAfter("run-2", "run-1");
        submitAfter("run-3", "run-2");
        rules.cancelAsked("run-1");
        rules.answered("run-1", 200, "cancelled");
        now = 40_000;
        rules.answered("run-3", 200, "queued");
        assertEquals(List.of(), rules.breaches());
        now = 40_001;
        rules.answered("run-3", 200, "queued");
        broken("orphaned");
    }

    @Test
    void cancelledForWhatItNeeds() {
        submit("run-1", 1, false, false, true);
        submitAfter("run-2", "run-1");
        rules.cancelAsked("run-1");
        rules.answered("run-2", 200, "cancelled");
        assertEquals(List.of(), rules.breaches());
        rules.answered("run-2", 200, "queued");
        broken("went_back");
    }

    private void lawful() {
        assertEquals(List.of(), rules.breaches());
    }

    private void accepted(String id) {
        submit(id, 1, false, false, true);
        rules.answered(id, 201, "queued");
    }

    @Test
    void startedAfterACancellation() {
        accepted("run-1");
        rules.cancelAsked("run-1");
        rules.answered("run-1", 200, "cancelled");
        now = 4000;
        rules.ordered("m-1", "run-1/0", 4000);
        lawful();
        now = 4001;
        rules.ordered("m-1", "run-1/0", 4000);
        broken("started_cancelled");
    }

    @Test
    void startsAfterACancellationAreCounted() {
        accepted("run-1");
        rules.started("m-1", "run-1/0", "m8", "east", true);
        assertEquals(0, rules.startsAfterCancel());
        rules.left("m-1", "run-1/0");
        rules.cancelAsked("run-1");
        rules.answered("run-1", 200, "cancelled");
        rules.started("m-1", "run-1/0", "m8", "east", true);
        assertEquals(1, rules.startsAfterCancel());
        now = 3000;
        rules.left("m-1", "run-1/0");
        assertEquals(3000, rules.longestAfterCancelMs());
    }

    @Test
    void goesOnAfterItsMachineHung() {
        accepted("run-1");
        rules.started("m-1", "run-1/0", "m8", "east", true);
        rules.cancelAsked("run-1");
        rules.answered("run-1", 200, "cancelled");
        now = 40_000;
        rules.left("m-1", "run-1/0");
        lawful();
        rules.started("m-1", "run-1/0", "m8", "east", true);
        now = 40_001;
        rules.left("m-1", "run-1/0");
        broken("ran_cancelled");
    }

    @Test
    void olderThanAnotherNodesAnswer() {
        accepted("run-1");
        rules.completed("run-1/0");
        now = 10;
        rules.answered("run-1", 200, "done", 6);
        // Asked before anybody had been told: the answers have crossed.
        now = 12;
        rules.answered("run-1", 200, "running", 9);
        lawful();
        rules.answered("run-1", 200, "running", 10);
        broken("went_back");
    }

    @Test
    void notFoundThoughAnotherNodeAccepted() {
        submit("run-1", 1, false, false, true);
        now = 10;
        rules.answered("run-1", 201, "queued", 5);
        rules.answered("run-1", 404, null, 9);
        lawful();
        rules.answered("run-1", 404, null, 10);
        broken("forgotten");
    }

    @Test
    void silentAfterTheTroubles() {
        accepted("run-1");
        rules.answered("run-1", 503, null);
        now = 200_000;
        rules.answered("run-1", 503, null);
        rules.troublesOver();
        now = 275_000;
        rules.answered("run-1", 503, null);
        lawful();
        now = 275_001;
        rules.answered("run-1", 503, null);
        broken("forgotten");
    }

    @Test
    void leftWaiting() {
        accepted("run-1");
        rules.waits("run-1", true);
        now = 100_000;
        rules.troublesOver();
        rules.waits("run-1", true);
        now = 150_000;
        // For a moment it could not have started.
        rules.waits("run-1", false);
        rules.waits("run-1", true);
        now = 240_000;
        rules.waits("run-1", true);
        lawful();
        now = 240_001;
        rules.waits("run-1", true);
        broken("left_waiting");
    }

    @Test
    void acceptedThoughUnfit() {
        rules.unfit("run-1");
        rules.answered("run-1", 422, null);
        rules.answered("run-1", 400, null);
        rules.answered("run-1", 503, null);
        lawful();
        rules.answered("run-1", 201, "queued");
        broken("accepted_unfit");
    }

    @Test
    void lawfulStarts() {
        submit("run-1", 1, false, false, true);
        rules.started("m-1", "run-1/0", "m8", "east", true);
        rules.left("m-1", "run-1/0");
        // It had left its first machine, so it has not run twice; two tasks of four cores are what the team may hold.
        rules.started("m-2", "run-1/0", "m8", "west", true);
        submit("run-2", 1, false, false, false);
        rules.started("m-3", "run-2/0", "m8", "east", false);
        lawful();
    }

    @Test
    void lawfulPlacesAmongFellows() {
        submit("run-1", 2, true, false, true);
        rules.started("m-1", "run-1/0", "m8", "east", true);
        rules.started("m-2", "run-1/1", "m8", "east", true);
        rules.left("m-1", "run-1/0");
        rules.left("m-2", "run-1/1");
        // All its fellows have gone from the one zone, so that any may be the next.
        rules.started("m-3", "run-1/1", "m8", "west", true);
        rules.left("m-3", "run-1/1");
        submit("run-2", 2, false, true, true);
        rules.started("m-1", "run-2/0", "m8", "east", true);
        rules.started("m-3", "run-2/1", "m8", "west", true);
        lawful();
    }

    @Test
    void lawfulAnswers() {
        accepted("run-1");
        rules.answered("run-1", 503, null);
        rules.answered("run-1", 200, "running");
        rules.answered("run-9", 404, null);
        rules.started("m-1", "run-1/0", "m8", "east", true);
        rules.left("m-1", "run-1/0");
        rules.completed("run-1/0");
        rules.answered("run-1", 200, "done");
        rules.answered("run-1", 200, "done");
        accepted("run-2");
        rules.cancelAsked("run-2");
        rules.answered("run-2", 200, "queued");
        rules.answered("run-2", 200, "cancelled");
        submitAfter("run-3", "run-1");
        rules.started("m-1", "run-3/0", "m8", "east", true);
        lawful();
    }

    @Test
    void ordersAfterACancellationAreMeasured() {
        accepted("run-1");
        rules.ordered("m-1", "run-1/0", 4000);
        assertEquals(0, rules.ordersAfterCancel());
        now = 1000;
        rules.cancelAsked("run-1");
        rules.answered("run-1", 200, "cancelled");
        now = 3500;
        rules.ordered("m-1", "run-1/0", 4000);
        assertEquals(1, rules.ordersAfterCancel());
        assertEquals(2500, rules.longestOrderAfterCancelMs());
        lawful();
    }
}

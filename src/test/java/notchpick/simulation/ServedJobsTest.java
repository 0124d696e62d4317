package notchpick.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Groups of which less than half is served, or that begin too late, are reported; what is just enough passes. */
class ServedJobsTest {
    private long now;
    private final InvariantChecker invariants = new InvariantChecker(() -> now, 40_000, Map.of("a", 8.0));

    private void submit(String id, int tasks) {
        invariants.submitted(InvariantCheckerTest.job(id).tasks(tasks).build());
    }

    private void accepted(String id) {
        submit(id, 1);
        invariants.answered(id, 201, "queued");
    }

    @Test
    void groupServedLessThanHalfIsReported() {
        for (int i = 1; i <= 4; i++) {
            accepted("run-" + i);
            invariants.started("m-1", "run-" + i + "/0", "m8", "east", true);
            invariants.stopped("m-1", "run-" + i + "/0");
            if (i <= 2) {
                invariants.completed("run-" + i + "/0");
                invariants.answered("run-" + i, 200, "done");
            }
        }
        assertEquals(List.of(), invariants.underserved());
        accepted("run-5");
        assertEquals(List.of("team a: 2 of 5 served", "class c: 2 of 5 served"), invariants.underserved());
        invariants.cancelRequested("run-5");
        assertEquals(List.of(), invariants.underserved());
    }

    @Test
    void largestJobsMustBeServed() {
        submit("run-1", 2);
        accepted("run-2");
        invariants.completed("run-2/0");
        invariants.answered("run-2", 200, "done");
        now = ServedJobs.LARGEST_BEGIN_MS;
        invariants.started("m-1", "run-1/0", "m8", "east", true);
        assertEquals(List.of("largest of c: 0 of 1 served"), invariants.underserved());
        invariants.completed("run-1/0");
        invariants.completed("run-1/1");
        invariants.answered("run-1", 200, "done");
        assertEquals(List.of(), invariants.underserved());
    }

    @Test
    void largestJobsMustBeginInTime() {
        submit("run-1", 2);
        now = ServedJobs.LARGEST_BEGIN_MS + 1;
        invariants.started("m-1", "run-1/0", "m8", "east", true);
        invariants.completed("run-1/0");
        invariants.completed("run-1/1");
        invariants.answered("run-1", 200, "done");
        assertEquals(List.of("largest of c begin late"), invariants.underserved());
    }
}

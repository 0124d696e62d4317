package notchpick.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Groups that are less than half served, or whose largest jobs start late, are reported; exactly half passes. */
class ServedJobsTest {
    private long nowMs;
    private final InvariantChecker invariants = new InvariantChecker(() -> nowMs, 40_000, Map.of("a", 8.0));

    private void submit(String id, int tasks) {
        invariants.recordSubmission(InvariantCheckerTest.job(id).tasks(tasks).build());
    }

    private void submitAccepted(String id) {
        submit(id, 1);
        invariants.recordAnswer(id, 201, "queued");
    }

    @Test
    void groupWithLessThanHalfServedIsReported() {
        for (int i = 1; i <= 4; i++) {
            submitAccepted("run-" + i);
            invariants.recordStart("m-1", "run-" + i + "/0", "m8", "east", true);
            invariants.recordStop("m-1", "run-" + i + "/0");
            if (i <= 2) {
                invariants.recordCompletion("run-" + i + "/0");
                invariants.recordAnswer("run-" + i, 200, "done");
            }
        }
        assertEquals(List.of(), invariants.underserved());
        submitAccepted("run-5");
        assertEquals(List.of("team a: 2 of 5 served", "class c: 2 of 5 served"), invariants.underserved());
        invariants.recordCancelRequest("run-5");
        assertEquals(List.of(), invariants.underserved());
    }

    @Test
    void unservedLargestJobsAreReported() {
        submit("run-1", 2);
        submitAccepted("run-2");
        invariants.recordCompletion("run-2/0");
        invariants.recordAnswer("run-2", 200, "done");
        nowMs = ServedJobs.MAX_START_DELAY_OF_LARGEST_MS;
        invariants.recordStart("m-1", "run-1/0", "m8", "east", true);
        assertEquals(List.of("largest of c: 0 of 1 served"), invariants.underserved());
        invariants.recordCompletion("run-1/0");
        invariants.recordCompletion("run-1/1");
        invariants.recordAnswer("run-1", 200, "done");
        assertEquals(List.of(), invariants.underserved());
    }

    @Test
    void largestJobsStartedLateAreReported() {
        submit("run-1", 2);
        nowMs = ServedJobs.MAX_START_DELAY_OF_LARGEST_MS + 1;
        invariants.recordStart("m-1", "run-1/0", "m8", "east", true);
        invariants.recordCompletion("run-1/0");
        invariants.recordCompletion("run-1/1");
        invariants.recordAnswer("run-1", 200, "done");
        assertEquals(List.of("largest of c: more than half started late"), invariants.underserved());
    }
}

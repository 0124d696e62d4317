package notchpick.simulation;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import notchpick.scheduling.JobSpec;
import notchpick.scheduling.TestJobs;
import org.junit.jupiter.api.Test;

/** Tests that a job with completed tasks only must be called done in time, and that earlier answers are lawful. */
class DoneStateCheckerTest {
    private static final long FAULTS_OVER_AT_MS = 10_000;
    private static final long COMPLETED_AT_MS = 200_000;

    private final JobSpec job = TestJobs.job("run-000001").tasks(2).build();
    private final DoneStateChecker checker = new DoneStateChecker();

    private void complete(int task, long nowMs) {
        checker.recordCompletion("run-000001", "run-000001/" + task, nowMs);
    }

    private boolean isOverdue(long requestedAtMs) {
        return checker.isOverdue(job, requestedAtMs, FAULTS_OVER_AT_MS);
    }

    @Test
    void detectsJobThatIsNotCalledDoneAfterThreeSeconds() {
        complete(0, 100_000);
        complete(1, COMPLETED_AT_MS);
        complete(0, COMPLETED_AT_MS + 3000);
        assertFalse(isOverdue(COMPLETED_AT_MS + 3000));
        assertTrue(isOverdue(COMPLETED_AT_MS + 3001));
    }

    @Test
    void allowsOtherStatesWhileTaskIsMissing() {
        complete(0, 100_000);
        assertFalse(isOverdue(COMPLETED_AT_MS + 3001));
    }

    @Test
    void allowsOtherStatesShortlyAfterFaults() {
        complete(0, 11_000);
        complete(1, 12_000);
        assertFalse(isOverdue(FAULTS_OVER_AT_MS + 90_000));
        assertTrue(isOverdue(FAULTS_OVER_AT_MS + 90_001));
    }
}

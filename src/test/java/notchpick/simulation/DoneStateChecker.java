package notchpick.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import notchpick.scheduling.JobSpec;

/**
 * Finds jobs that are not called done although all of their tasks have completed. "Starting 3 s after the last task of a
 * job has completed, its user expects done", at the latest once all faults have been over for 90 s.
 */
final class DoneStateChecker {
    private static final long MAX_LAG_MS = 3000;
    /** "Once the troubles are over, no job is left waiting for 90 s." */
    private static final long RECOVERY_MS = 90_000;

    private final Set<String> completedTasks = new HashSet<>();
    private final Map<String, Integer> completedCounts = new HashMap<>();
    private final Map<String, Long> lastCompletionAtMs = new HashMap<>();

    /** Records that the task has completed; only its first completion counts. */
    void recordCompletion(String job, String task, long nowMs) {
        if (completedTasks.add(task)) {
            completedCounts.merge(job, 1, Integer::sum);
            lastCompletionAtMs.put(job, nowMs);
        }
    }

    /**
     * Whether an answer that calls the job neither done nor cancelled comes too late.
     *
     * @param requestedAtMs when the request was sent
     */
    boolean isOverdue(JobSpec job, long requestedAtMs, long faultsOverAtMs) {
        if (job.isService() || completedCounts.getOrDefault(job.id(), 0) < job.tasks()) {
            return false;
        }
        return requestedAtMs - lastCompletionAtMs.get(job.id()) > MAX_LAG_MS
                && requestedAtMs - faultsOverAtMs > RECOVERY_MS;
    }
}

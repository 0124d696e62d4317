package notchpick.simulation;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Finds jobs with a waiting task that could start: "no job is left waiting for 90 s while a machine that fits has room". */
final class WaitingJobChecker {
    /** The longest time that a job may wait while a suitable machine has room and its team is under its limit. */
    static final long MAX_WAITING_MS = 90_000;

    private final Map<String, Long> waitingSinceMs = new HashMap<>();

    /** Forgets all waits, which then count from now on. */
    void reset() {
        waitingSinceMs.clear();
    }

    /** Records that the job has started a task, or that none of its waiting tasks could start. */
    void recordNotWaiting(String job) {
        waitingSinceMs.remove(job);
    }

    /**
     * Records that a waiting task of the job could start. Must be called regularly.
     *
     * @return since when the job has waited, if that is too long; its wait then counts from now on
     */
    Optional<Long> recordWaiting(String job, long nowMs) {
        long sinceMs = waitingSinceMs.computeIfAbsent(job, j -> nowMs);
        if (nowMs - sinceMs <= MAX_WAITING_MS) {
            return Optional.empty();
        }
        waitingSinceMs.put(job, nowMs);
        return Optional.of(sinceMs);
    }
}

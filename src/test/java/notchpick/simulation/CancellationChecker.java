package notchpick.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

/** Tracks which jobs users cancelled, and how long after the confirmation their tasks were still ordered or running. */
final class CancellationChecker {
    private final LongSupplier clock;
    private final long cancelTimeoutMs;
    private final Set<String> requested = new HashSet<>();
    private final Map<String, Long> confirmedAtMs = new HashMap<>();
    private long starts;
    private long startOrders;
    private long longestUntilStoppedMs;
    private long longestUntilStartOrderMs;

    /** @param cancelTimeoutMs how long tasks may still run after the confirmation of a cancellation */
    CancellationChecker(LongSupplier clock, long cancelTimeoutMs) {
        this.clock = clock;
        this.cancelTimeoutMs = cancelTimeoutMs;
    }

    void recordRequest(String job) {
        requested.add(job);
    }

    boolean isRequested(String job) {
        return requested.contains(job);
    }

    /** Records that a user was told that the job is cancelled; only the first call per job counts. */
    void recordConfirmation(String job) {
        confirmedAtMs.putIfAbsent(job, clock.getAsLong());
    }

    boolean isConfirmed(String job) {
        return confirmedAtMs.containsKey(job);
    }

    /** The time since the job's cancellation was confirmed; empty if it was not. */
    private Optional<Long> sinceConfirmationMs(String job) {
        return Optional.ofNullable(confirmedAtMs.get(job)).map(atMs -> clock.getAsLong() - atMs);
    }

    /** Whether the job's cancellation was confirmed so long ago that its tasks must have stopped. */
    boolean isOverdue(String job) {
        return sinceConfirmationMs(job).filter(ms -> ms > cancelTimeoutMs).isPresent();
    }

    /** Records a start order for a task of the job; returns the time since the confirmation, if there was one. */
    Optional<Long> recordStartOrder(String job) {
        Optional<Long> delayMs = sinceConfirmationMs(job);
        delayMs.ifPresent(ms -> {
            startOrders++;
            longestUntilStartOrderMs = Math.max(longestUntilStartOrderMs, ms);
        });
        return delayMs;
    }

    void recordStart(String job) {
        starts += isConfirmed(job) ? 1 : 0;
    }

    void recordStop(String job) {
        sinceConfirmationMs(job).ifPresent(ms -> longestUntilStoppedMs = Math.max(longestUntilStoppedMs, ms));
    }

    long starts() {
        return starts;
    }

    long startOrders() {
        return startOrders;
    }

    long longestUntilStoppedMs() {
        return longestUntilStoppedMs;
    }

    long longestUntilStartOrderMs() {
        return longestUntilStartOrderMs;
    }
}

package notchpick.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

/** What users have cancelled, and how long after the confirmation something of the job still happened. */
final class CancellationChecker {
    private final LongSupplier clock;
    private final long cancelTimeoutMs;
    private final Set<String> requested = new HashSet<>();
    private final Map<String, Long> confirmedAtMs = new HashMap<>();
    private long starts;
    private long startOrders;
    private long longestUntilStoppedMs;
    private long longestUntilStartOrderMs;

    /** @param cancelTimeoutMs how long tasks may still run after the confirmation */
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

    /** A user got the answer that the job is cancelled; the first answer counts. */
    void recordConfirmation(String job) {
        confirmedAtMs.putIfAbsent(job, clock.getAsLong());
    }

    boolean isConfirmed(String job) {
        return confirmedAtMs.containsKey(job);
    }

    /** The time since the job's cancellation was confirmed; empty if none was. */
    private Optional<Long> sinceConfirmationMs(String job) {
        return Optional.ofNullable(confirmedAtMs.get(job)).map(atMs -> clock.getAsLong() - atMs);
    }

    /** Whether the tasks of the job must have stopped by now. */
    boolean isOverdue(String job) {
        return sinceConfirmationMs(job).filter(ms -> ms > cancelTimeoutMs).isPresent();
    }

    /** Records a start order for a task of the job; returns the time since the confirmation, empty if there was none. */
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

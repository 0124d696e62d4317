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
    private final Map<String, Long> confirmedAt = new HashMap<>();
    private long starts;
    private long startOrders;
    private long longestUntilStoppedMs;
    private long longestUntilStartOrderMs;

    /** @param cancelTimeoutMs how long tasks may still run after the confirmation */
    CancellationChecker(LongSupplier clock, long cancelTimeoutMs) {
        this.clock = clock;
        this.cancelTimeoutMs = cancelTimeoutMs;
    }

    void requested(String job) {
        requested.add(job);
    }

    boolean isRequested(String job) {
        return requested.contains(job);
    }

    /** A user got the answer that the job is cancelled; the first answer counts. */
    void confirmed(String job) {
        confirmedAt.putIfAbsent(job, clock.getAsLong());
    }

    boolean isConfirmed(String job) {
        return confirmedAt.containsKey(job);
    }

    /** The time since the job's cancellation was confirmed; empty if none was. */
    private Optional<Long> sinceConfirmationMs(String job) {
        return Optional.ofNullable(confirmedAt.get(job)).map(at -> clock.getAsLong() - at);
    }

    /** Whether the tasks of the job must have stopped by now. */
    boolean isOverdue(String job) {
        return sinceConfirmationMs(job).filter(ms -> ms > cancelTimeoutMs).isPresent();
    }

    /** A worker was ordered to start a task of the job; answers how long after its cancellation, if it was cancelled. */
    Optional<Long> startOrdered(String job) {
        Optional<Long> delayMs = sinceConfirmationMs(job);
        delayMs.ifPresent(ms -> {
            startOrders++;
            longestUntilStartOrderMs = Math.max(longestUntilStartOrderMs, ms);
        });
        return delayMs;
    }

    void started(String job) {
        starts += isConfirmed(job) ? 1 : 0;
    }

    void stopped(String job) {
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

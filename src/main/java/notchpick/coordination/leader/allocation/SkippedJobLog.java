package notchpick.coordination.leader.allocation;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.Job;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs at intervals why the job that has been skipped for the longest time has found no machine. */
final class SkippedJobLog {
    private static final Logger LOG = LoggerFactory.getLogger(SkippedJobLog.class);

    private final TermContext context;
    private final double minSkippedMs;
    private final double intervalMs;
    private long lastLoggedAtMs;

    /** @param minSkippedMs for how long a job must have been skipped to be logged */
    SkippedJobLog(TermContext context, double minSkippedMs) {
        this.context = context;
        this.minSkippedMs = minSkippedMs;
        this.intervalMs = Math.max(minSkippedMs, (double) context.heartbeatPeriodMs());
    }

    /** Logs one of the jobs that a round has skipped, if the last line is old enough. */
    void record(
            List<TeamAllocation> allocations,
            MachineSelector machineSelector,
            BackfillReservations reservations,
            long nowMs) {
        if (nowMs - lastLoggedAtMs < intervalMs) {
            return;
        }
        for (TeamAllocation allocation : allocations) {
            Optional<Job> longest = allocation.skipped().stream().min(Comparator.comparingLong(Job::skippedSinceMs));
            if (longest.isPresent() && nowMs - longest.get().skippedSinceMs() >= minSkippedMs) {
                lastLoggedAtMs = nowMs;
                log(
                        longest.get(),
                        allocation,
                        machineSelector.countObstacles(longest.get(), allocation, reservations, nowMs),
                        nowMs);
            }
        }
    }

    private void log(
            Job job, TeamAllocation allocation, Map<PlacementObstacle, Integer> machinesByObstacle, long nowMs) {
        LOG.info(
                "job skipped: job={} team={} pendingTasks={} skippedMs={} skippedJobs={} machinesByObstacle={} term={}",
                job.id(),
                allocation.team(),
                job.pendingTasks(),
                nowMs - job.skippedSinceMs(),
                allocation.skipped().size(),
                machinesByObstacle,
                context.term());
    }
}

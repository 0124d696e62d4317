package notchpick.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Sorts the jobs of one team in the order in which they are served. Urgent jobs come first, by priority, then by slack.
 * The other jobs are ordered by slack alone as long as all of them can be on time, so that a job of low priority
 * precedes one of higher priority that can wait. If not all of them can be on time, the largest jobs of the lowest
 * priority are deferred, so that as many jobs as possible are on time.
 */
public final class JobOrder {
    /** The planned work must fit into this fraction of the slack, because estimates are often wrong. */
    private static final double PLANNED_SLACK_RATIO = 0.8;
    /** The weight of a job's own remaining work in the order by due time. */
    private static final double WORK_WEIGHT = 2;

    private JobOrder() {}

    /**
     * A waiting job.
     *
     * @param job the caller's reference to it
     * @param remainingCoreS the core-seconds that its unfinished tasks are expected to need
     * @param runS the expected run time of one of its tasks, in seconds
     */
    public record WaitingJob<J>(J job, JobSpec spec, double remainingCoreS, double runS) {}

    /**
     * A job with its sort keys, which are computed once instead of at each comparison.
     *
     * @param slackS how long the job may wait and still be on time, in seconds; negative if it is late
     * @param workS the time in which all cores together would complete its unfinished tasks, in seconds
     */
    private record RankedJob<J>(WaitingJob<J> waiting, JobSpec.Priority priority, double slackS, double workS) {
        private boolean isLate() {
            return slackS < 0;
        }

        /** The due time used as sort key: of jobs with equal slack, the one with less remaining work comes first. */
        private double dueS() {
            return slackS + WORK_WEIGHT * workS;
        }

        private long readyAtMs() {
            return waiting.spec().readyAtMs();
        }

        private String id() {
            return waiting.spec().id();
        }
    }

    /**
     * Returns the jobs in the order in which they are served.
     *
     * @param wallTimeMs the current wall-clock time, in milliseconds since the epoch
     * @param cores the number of cores on which the jobs can run
     */
    public static <J> List<WaitingJob<J>> sorted(
            Collection<WaitingJob<J>> jobs, long wallTimeMs, ServiceObjectives objectives, double cores) {
        List<RankedJob<J>> urgent = new ArrayList<>();
        List<RankedJob<J>> feasible = new ArrayList<>();
        List<RankedJob<J>> deferred = new ArrayList<>();
        for (WaitingJob<J> waiting : jobs) {
            RankedJob<J> ranked = rank(waiting, wallTimeMs, objectives, cores);
            if (waiting.spec().isUrgent()) {
                urgent.add(ranked);
            } else if (ranked.isLate()) {
                deferred.add(ranked);
            } else {
                feasible.add(ranked);
            }
        }
        urgent.sort(byPriority());
        double urgentWorkS = urgent.stream().mapToDouble(RankedJob::workS).sum();
        List<RankedJob<J>> onTime = selectOnTime(feasible, urgentWorkS, deferred);
        deferred.sort(byPriority());
        List<WaitingJob<J>> sorted = new ArrayList<>(jobs.size());
        for (List<RankedJob<J>> part : List.of(urgent, onTime, deferred)) {
            part.forEach(ranked -> sorted.add(ranked.waiting()));
        }
        return sorted;
    }

    private static <J> RankedJob<J> rank(
            WaitingJob<J> waiting, long wallTimeMs, ServiceObjectives objectives, double cores) {
        JobSpec spec = waiting.spec();
        return new RankedJob<>(
                waiting,
                spec.priority(),
                objectives.slackS(spec, spec.ageS(wallTimeMs), waiting.runS()),
                waiting.remainingCoreS() / Math.max(cores, 1));
    }

    private static <J> Comparator<RankedJob<J>> byDueTime() {
        return Comparator.<RankedJob<J>>comparingDouble(RankedJob::dueS)
                .thenComparingLong(RankedJob::readyAtMs)
                .thenComparing(RankedJob::id);
    }

    /** Late jobs come last within their priority, so that they don't make other jobs late too. */
    private static <J> Comparator<RankedJob<J>> byPriority() {
        return Comparator.<RankedJob<J>, JobSpec.Priority>comparing(RankedJob::priority)
                .thenComparing(RankedJob::isLate)
                .thenComparing(byDueTime());
    }

    /**
     * Selects as many jobs as can be on time when they run one after the other (Moore-Hodgson algorithm): whenever the
     * next one would be late, the largest of the selected jobs with the lowest priority is deferred.
     *
     * @param precedingWorkS the duration of the work that precedes all of these jobs, in seconds
     * @param deferred receives the jobs that are not selected
     */
    private static <J> List<RankedJob<J>> selectOnTime(
            List<RankedJob<J>> jobs, double precedingWorkS, List<RankedJob<J>> deferred) {
        PriorityQueue<RankedJob<J>> selected =
                new PriorityQueue<>(Comparator.<RankedJob<J>, JobSpec.Priority>comparing(RankedJob::priority)
                        .thenComparingDouble(RankedJob::workS)
                        .reversed());
        double completionS = precedingWorkS;
        jobs.sort(byDueTime());
        for (RankedJob<J> next : jobs) {
            selected.add(next);
            completionS += next.workS();
            while (!selected.isEmpty() && completionS > next.slackS() * PLANNED_SLACK_RATIO) {
                RankedJob<J> largest = selected.poll();
                completionS -= largest.workS();
                deferred.add(largest);
            }
        }
        List<RankedJob<J>> sorted = new ArrayList<>(selected);
        sorted.sort(byDueTime());
        return sorted;
    }
}

package notchpick.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The order in which the jobs of one team are served. Urgent jobs come first, by priority, then by slack. The others are
 * ordered by slack alone as long as all can be on time, so that a job of low priority precedes one of higher priority that
 * can wait. Where not all can, the lowest and largest are deferred, so that as many as possible are on time.
 */
public final class JobOrder {
    /** Estimates are often wrong: the planned work must fit into this part of the slack. */
    private static final double PLANNED_SLACK_RATIO = 0.8;
    /** How many times a job's own work counts in the order by due time. */
    private static final double WORK_WEIGHT = 2;

    private JobOrder() {}

    /**
     * One waiting job.
     *
     * @param job the caller's reference to it
     * @param remainingCoreS core-seconds that its unfinished tasks are expected to need
     * @param runS the expected run time of one of its tasks
     */
    public record WaitingJob<J>(J job, JobSpec spec, double remainingCoreS, double runS) {}

    /**
     * A job with its sort keys, computed once rather than at each comparison.
     *
     * @param slackS for how long it may wait and still be on time
     * @param workS how long all cores together would need for its unfinished tasks
     */
    private record RankedJob<J>(WaitingJob<J> waiting, JobSpec.Priority priority, double slackS, double workS) {
        private boolean isLate() {
            return slackS < 0;
        }

        /** Of jobs with equal slack, the one with less work left comes first. */
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
     * The jobs in the order in which they are served.
     *
     * @param wallTimeMs the time of day, in milliseconds since the epoch
     * @param cores how many cores there are to work on them
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

    /** Late jobs come last within their priority, lest they make others late too. */
    private static <J> Comparator<RankedJob<J>> byPriority() {
        return Comparator.<RankedJob<J>, JobSpec.Priority>comparing(RankedJob::priority)
                .thenComparing(RankedJob::isLate)
                .thenComparing(byDueTime());
    }

    /**
     * As many jobs as can be on time one after the other (Moore-Hodgson algorithm): whenever the next one would be late,
     * the largest so far of the lowest priority is deferred.
     *
     * @param precedingWorkS the work that comes before all of these
     * @param deferred takes the jobs that are left out
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

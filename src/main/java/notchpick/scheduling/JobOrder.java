package notchpick.scheduling;

import java.util.Comparator;
import java.util.Map;

/** The order in which the jobs of one team are served: priority, then time left, then age. */
public final class JobOrder {
    private JobOrder() {}

    /**
     * One waiting job.
     *
     * @param remainingS core-seconds that its unfinished tasks are expected to need
     * @param runS what one of its tasks is expected to run
     */
    public record Waiting(JobSpec spec, double remainingS, double runS) {}

    /**
     * @param withinS by class, the time in which the users want a job finished or started
     * @param cores what there is to work on
     */
    public static Comparator<Waiting> at(long wallTime, Map<String, Double> withinS, double cores) {
        return Comparator.<Waiting>comparingInt(w -> w.spec().priority().ordinal())
                // What can't be on time any more must not make others late too.
                .thenComparing(w -> slackS(w, wallTime, withinS) < 0)
                // A small rest goes before a large one that is due at the same time.
                .thenComparingDouble(w -> slackS(w, wallTime, withinS) + w.remainingS() / Math.max(cores, 1) * 2)
                .thenComparingLong(w -> w.spec().submittedAt())
                .thenComparing(w -> w.spec().id());
    }

    private static double slackS(Waiting waiting, long wallTime, Map<String, Double> withinS) {
        JobSpec spec = waiting.spec();
        double dueS = spec.deadlineS() != null
                ? spec.deadlineS()
                : withinS.getOrDefault(spec.jobClass(), 10 * waiting.runS());
        double ageS = (wallTime - spec.submittedAt()) / 1000.0;
        return dueS - ageS - waiting.runS();
    }
}

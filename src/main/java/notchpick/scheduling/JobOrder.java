package notchpick.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** The order in which the jobs of one team are served: priority, then time left, then age. */
public final class JobOrder {
    private JobOrder() {}

    /**
     * One waiting job.
     *
     * @param job what the caller knows it by
     * @param remainingS core-seconds that its unfinished tasks are expected to need
     * @param runS what one of its tasks is expected to run
     */
    public record Waiting<J>(J job, JobSpec spec, double remainingS, double runS) {}

    /** A job with what its place depends on, reckoned once rather than at each comparison. */
    private record Placed<J>(Waiting<J> waiting, int priority, boolean late, double due) {}

    /**
     * The jobs in their order.
     *
     * @param objectives what the operators have promised
     * @param cores what there is to work on
     */
    public static <J> List<Waiting<J>> sorted(Collection<Waiting<J>> jobs, long wallTime, Objectives objectives,
            double cores) {
        List<Placed<J>> placed = new ArrayList<>(jobs.size());
        for (Waiting<J> waiting : jobs) {
            double slackS = objectives.slackS(waiting.spec(),
                    (wallTime - waiting.spec().submittedAt()) / 1000.0, waiting.runS());
            placed.add(new Placed<>(waiting, waiting.spec().priority().ordinal(),
                    // What can't be on time any more must not make others late too.
                    slackS < 0,
                    // A small rest goes before a large one that is due at the same time.
                    slackS + waiting.remainingS() / Math.max(cores, 1) * 2));
        }
        placed.sort(Comparator.<Placed<J>>comparingInt(Placed::priority)
                .thenComparing(Placed::late)
                .thenComparingDouble(Placed::due)
                .thenComparingLong(p -> p.waiting().spec().submittedAt())
                .thenComparing(p -> p.waiting().spec().id()));
        List<Waiting<J>> sorted = new ArrayList<>(placed.size());
        placed.forEach(p -> sorted.add(p.waiting()));
        return sorted;
    }
}

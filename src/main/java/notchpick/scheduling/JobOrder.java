package notchpick.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The order in which the jobs of one team are served. Urgent ones by priority, then time left. The others by
 * time left alone, as long as all can be in time: then one of low priority goes before one of higher that
 * can wait. Where not all can, the lowest and largest are left for later, so that as many as can be are in time.
 */
public final class JobOrder {
    /** Estimates are often wrong: what is planned must fit into this part of the time there is. */
    private static final double SURE_PART = 0.8;

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
    private record Placed<J>(Waiting<J> waiting, int priority, double slackS, double workS) {
        private boolean late() {
            return slackS < 0;
        }

        /** A small rest goes before a large one that is due at the same time. */
        private double due() {
            return slackS + 2 * workS;
        }
    }

    /**
     * The jobs in their order.
     *
     * @param objectives what the operators have promised
     * @param cores what there is to work on
     */
    public static <J> List<Waiting<J>> sorted(
            Collection<Waiting<J>> jobs, long wallTime, ServiceObjectives objectives, double cores) {
        List<Placed<J>> urgent = new ArrayList<>();
        List<Placed<J>> inTime = new ArrayList<>();
        List<Placed<J>> later = new ArrayList<>();
        for (Waiting<J> waiting : jobs) {
            JobSpec spec = waiting.spec();
            Placed<J> placed = new Placed<>(
                    waiting,
                    spec.priority().ordinal(),
                    objectives.slackS(spec, spec.ageS(wallTime), waiting.runS()),
                    waiting.remainingS() / Math.max(cores, 1));
            (spec.isUrgent() ? urgent : placed.late() ? later : inTime).add(placed);
        }
        Comparator<Placed<J>> byDue = Comparator.<Placed<J>>comparingDouble(Placed::due)
                .thenComparingLong(p -> p.waiting().spec().readyAt())
                .thenComparing(p -> p.waiting().spec().id());
        // What can't be on time any more must not make others late too.
        Comparator<Placed<J>> byPriority = Comparator.<Placed<J>>comparingInt(Placed::priority)
                .thenComparing(Placed::late)
                .thenComparing(byDue);
        urgent.sort(byPriority);
        double aheadS = urgent.stream().mapToDouble(Placed::workS).sum();
        List<Placed<J>> kept = feasible(inTime, byDue, aheadS, later);
        later.sort(byPriority);
        List<Waiting<J>> sorted = new ArrayList<>(jobs.size());
        for (List<Placed<J>> part : List.of(urgent, kept, later)) {
            part.forEach(p -> sorted.add(p.waiting()));
        }
        return sorted;
    }

    /**
     * As many jobs as can be in time one after the other (Moore and Hodgson): whenever the next would be late,
     * the largest so far of the lowest priority is left out.
     */
    private static <J> List<Placed<J>> feasible(
            List<Placed<J>> jobs, Comparator<Placed<J>> order, double aheadS, List<Placed<J>> left) {
        PriorityQueue<Placed<J>> kept = new PriorityQueue<>(Comparator.<Placed<J>>comparingInt(Placed::priority)
                .thenComparingDouble(Placed::workS)
                .reversed());
        double loadS = aheadS;
        jobs.sort(order);
        for (Placed<J> next : jobs) {
            kept.add(next);
            loadS += next.workS();
            while (!kept.isEmpty() && loadS > next.slackS() * SURE_PART) {
                Placed<J> out = kept.poll();
                loadS -= out.workS();
                left.add(out);
            }
        }
        List<Placed<J>> sorted = new ArrayList<>(kept);
        sorted.sort(order);
        return sorted;
    }
}

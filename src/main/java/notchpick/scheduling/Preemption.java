package notchpick.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Chooses the running tasks to preempt for pending work that must not wait until they end. Work within its team's
 * guarantee preempts tasks of other teams beyond their guarantees; urgent work preempts tasks of lower priority.
 */
public final class Preemption {
    private Preemption() {}

    /**
     * A job with pending tasks that found no free resources.
     *
     * @param tasks the number of its pending tasks
     * @param isGuaranteed whether the pending tasks are within their team's guarantee
     */
    public record Preemptor(JobSpec spec, int tasks, boolean isGuaranteed) {
        private double pendingCores() {
            return tasks * spec.demand().cores();
        }
    }

    /**
     * A running task that can write a checkpoint, so that almost no work is lost when it stops.
     *
     * @param task the caller's reference to it
     * @param type the type of its machine
     */
    public record Victim<T>(T task, JobSpec spec, String type, String zone, boolean spot) {
        private double cores() {
            return spec.demand().cores();
        }
    }

    /**
     * Chooses the tasks to preempt, those of the lowest priority first.
     *
     * @param coresBeingFreed the number of cores that will soon be free without preemption
     * @param coresBeyondGuarantee the number of cores that a team holds beyond its guarantee
     */
    public static <T> List<T> choose(
            List<Preemptor> preemptors,
            List<Victim<T>> victims,
            double coresBeingFreed,
            ToDoubleFunction<String> coresBeyondGuarantee) {
        List<Victim<T>> remaining = new ArrayList<>(victims);
        remaining.sort(Comparator.comparing((Victim<T> victim) -> victim.spec().priority())
                .reversed());
        Map<String, Double> beyondGuarantee = new HashMap<>();
        List<T> chosen = new ArrayList<>();
        double freedCores = coresBeingFreed;
        for (Preemptor preemptor : preemptors) {
            double missingCores = preemptor.pendingCores();
            double used = Math.min(freedCores, missingCores);
            freedCores -= used;
            missingCores -= used;
            for (int i = 0; i < remaining.size() && missingCores > Resources.EPSILON; ) {
                Victim<T> victim = remaining.get(i);
                String team = victim.spec().team();
                double beyond = beyondGuarantee.computeIfAbsent(team, coresBeyondGuarantee::applyAsDouble);
                if (mayPreempt(preemptor, victim, beyond)) {
                    chosen.add(victim.task());
                    beyondGuarantee.put(team, beyond - victim.cores());
                    missingCores -= victim.cores();
                    remaining.remove(i);
                } else {
                    i++;
                }
            }
            freedCores += Math.max(0, -missingCores);
        }
        return chosen;
    }

    private static <T> boolean mayPreempt(Preemptor preemptor, Victim<T> victim, double beyondGuarantee) {
        JobSpec spec = preemptor.spec();
        if (!spec.allows(victim.type(), victim.zone(), victim.spot())) {
            return false;
        }
        boolean reclaimsGuarantee = preemptor.isGuaranteed()
                && !spec.team().equals(victim.spec().team())
                && beyondGuarantee >= victim.cores() - Resources.EPSILON;
        boolean outranks =
                spec.isUrgent() && spec.priority().compareTo(victim.spec().priority()) < 0;
        return reclaimsGuarantee || outranks;
    }
}

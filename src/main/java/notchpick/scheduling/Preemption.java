package notchpick.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** Chooses running tasks that give way to work which must not wait for them. */
public final class Preemption {
    private Preemption() {}

    /** Work that found no room. Guaranteed: it is within its team's guarantee. */
    public record Starved(JobSpec spec, int tasks, boolean guaranteed) {}

    /** A task that can save its progress, so that stopping it loses next to nothing. */
    public record Victim<T>(T task, JobSpec spec, String type, String zone, boolean spot) {}

    /**
     * Tasks to be stopped.
     *
     * @param freeing cores that are being freed already
     * @param beyond by team, the cores that it holds beyond its guarantee
     */
    public static <T> List<T> choose(
            List<Starved> starved, List<Victim<T>> victims, double freeing, Function<String, Double> beyond) {
        List<Victim<T>> order = new ArrayList<>(victims);
        order.sort(Comparator.comparingInt(victim -> -victim.spec().priority().ordinal()));
        Map<String, Double> left = new HashMap<>();
        List<T> chosen = new ArrayList<>();
        double freed = freeing;
        for (Starved job : starved) {
            double need = job.tasks() * job.spec().demand().cores();
            double use = Math.min(freed, need);
            freed -= use;
            need -= use;
            for (int i = 0; i < order.size() && need > Resources.EPSILON; ) {
                Victim<T> victim = order.get(i);
                double cores = victim.spec().demand().cores();
                double spare = left.computeIfAbsent(victim.spec().team(), beyond);
                if (mustGiveWay(job, victim, spare)) {
                    chosen.add(victim.task());
                    left.put(victim.spec().team(), spare - cores);
                    need -= cores;
                    order.remove(i);
                } else {
                    i++;
                }
            }
            freed += Math.max(0, -need);
        }
        return chosen;
    }

    private static <T> boolean mustGiveWay(Starved job, Victim<T> victim, double beyond) {
        JobSpec spec = job.spec();
        if (!spec.allows(victim.type(), victim.zone(), victim.spot())) {
            return false;
        }
        boolean owed = job.guaranteed()
                && !spec.team().equals(victim.spec().team())
                && beyond >= victim.spec().demand().cores() - Resources.EPSILON;
        boolean outranked = spec.priority().ordinal() <= JobSpec.Priority.HIGH.ordinal()
                && victim.spec().priority().ordinal() > spec.priority().ordinal();
        return owed || outranked;
    }
}

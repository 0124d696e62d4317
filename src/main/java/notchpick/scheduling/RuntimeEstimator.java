package notchpick.scheduling;

import java.util.HashMap;
import java.util.Map;

/** Learns per class of jobs how far the owners' estimates are off. */
public final class RuntimeEstimator {
    /** How much one more observation counts. */
    private static final double WEIGHT = 0.1;
    /** A task of which nothing is known is taken to run this long. */
    private static final double UNKNOWN_S = 30;

    private final Map<String, Double> factors = new HashMap<>();

    /** Learns from a task of the job that completed after so many seconds. */
    public void observe(JobSpec spec, double ranS) {
        if (spec.estimateS() > 0 && ranS > 0) {
            double factor = Math.min(4, Math.max(0.25, ranS / spec.estimateS()));
            factors.merge(spec.jobClass(), factor, (old, now) -> old + WEIGHT * (now - old));
        }
    }

    /** How long a task of this job is expected to run. */
    public double runS(JobSpec spec) {
        double estimate = spec.estimateS() > 0 ? spec.estimateS() : UNKNOWN_S;
        return estimate * factors.getOrDefault(spec.jobClass(), 1.0);
    }
}

package notchpick.scheduling;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates run times: the users' estimate times an exponentially weighted moving average, for each class of jobs, of the
 * ratio between measured and estimated run time.
 */
public final class RuntimeEstimator {
    /** The weight of the latest observation in the moving average. */
    private static final double SMOOTHING_FACTOR = 0.1;
    /** One observation counts as no less and no more than this ratio, lest outliers distort the average. */
    private static final double MIN_RATIO = 0.25;

    private static final double MAX_RATIO = 4;
    /** The estimate for a task whose user gives none. */
    private static final double DEFAULT_RUN_S = 30;

    private final Map<String, Double> ratios = new HashMap<>();

    /** Takes in the run time of a completed task, in seconds; without effect if its user gave no estimate. */
    public void observe(JobSpec spec, double ranS) {
        if (spec.estimateS() > 0 && ranS > 0) {
            double ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, ranS / spec.estimateS()));
            ratios.merge(
                    spec.jobClass(), ratio, (average, observed) -> average + SMOOTHING_FACTOR * (observed - average));
        }
    }

    /** The expected run time of one task of the job, in seconds. */
    public double runS(JobSpec spec) {
        double estimateS = spec.estimateS() > 0 ? spec.estimateS() : DEFAULT_RUN_S;
        return estimateS * ratios.getOrDefault(spec.jobClass(), 1.0);
    }
}

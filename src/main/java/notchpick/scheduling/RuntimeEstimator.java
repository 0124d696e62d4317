package notchpick.scheduling;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the run times of tasks: multiplies the user's estimate by the ratio of measured to estimated run time. The
 * ratio is an exponentially weighted moving average for each class of jobs.
 */
public final class RuntimeEstimator {
    /** The weight of the latest observation in the moving average. */
    private static final double SMOOTHING_FACTOR = 0.1;
    /** Observed ratios are limited to this range, so that outliers don't distort the average. */
    private static final double MIN_RATIO = 0.25;

    private static final double MAX_RATIO = 4;
    /** The estimate, in seconds, for a task whose user gives none. */
    private static final double DEFAULT_RUN_S = 30;

    private final Map<String, Double> ratios = new HashMap<>();

    /** Adds the run time of a completed task, in seconds, to the average; ignored if its user gave no estimate. */
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

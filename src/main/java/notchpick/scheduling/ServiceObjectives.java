package notchpick.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The service-level objectives set by the operators, by class of jobs. */
public record ServiceObjectives(Map<String, List<Objective>> byClass) {
    public static final ServiceObjectives NONE = new ServiceObjectives(Map.of());
    /** A job without objectives is due after this multiple of its run time. */
    private static final double DEFAULT_DUE_RUNS = 10;

    /** What an objective bounds. */
    public enum Kind {
        /** The seconds until all tasks have been started. */
        STARTED,
        /** The seconds until the job is complete. */
        FINISHED,
        /** The time until the job is complete, as a multiple of its own deadline. */
        DEADLINE
    }

    /** An upper bound for a class of jobs, in the unit given by its kind. */
    public record Objective(Kind kind, double limit) {
        private double slackS(JobSpec spec, double ageS, double runS) {
            return switch (kind) {
                case STARTED -> limit - ageS;
                case FINISHED -> limit - ageS - runS;
                case DEADLINE -> limit * spec.deadlineS() - spec.blockedS() - ageS - runS;
            };
        }

        private boolean appliesTo(JobSpec spec) {
            return kind != Kind.DEADLINE || spec.deadlineS() != null;
        }
    }

    /** The objectives of the job's class, and the job's own deadline unless a deadline objective is among them. */
    private List<Objective> objectivesFor(JobSpec spec) {
        List<Objective> objectives = byClass.getOrDefault(spec.jobClass(), List.of());
        if (spec.deadlineS() == null || objectives.stream().anyMatch(objective -> objective.kind() == Kind.DEADLINE)) {
            return objectives;
        }
        List<Objective> all = new ArrayList<>(objectives);
        all.add(new Objective(Kind.DEADLINE, 1));
        return all;
    }

    /**
     * Whether the job has an objective that can still be met.
     *
     * @param ageS the time since the job became ready, in seconds
     * @param runS the expected run time of one of its tasks, in seconds
     */
    public boolean isAttainable(JobSpec spec, double ageS, double runS) {
        for (Objective objective : objectivesFor(spec)) {
            if (objective.appliesTo(spec) && objective.slackS(spec, ageS, runS) >= 0) {
                return true;
            }
        }
        return false;
    }

    /**
     * How many seconds the job may wait without missing any objective that it can still meet. If it can meet none, the
     * result is negative, and its amount is the smallest delay by which an objective is missed.
     *
     * @param ageS the time since the job became ready, in seconds
     * @param runS the expected run time of one of its tasks, in seconds
     */
    public double slackS(JobSpec spec, double ageS, double runS) {
        double nearestS = Double.POSITIVE_INFINITY;
        double latestS = Double.NEGATIVE_INFINITY;
        for (Objective objective : objectivesFor(spec)) {
            if (!objective.appliesTo(spec)) {
                continue;
            }
            double slackS = objective.slackS(spec, ageS, runS);
            latestS = Math.max(latestS, slackS);
            nearestS = slackS >= 0 ? Math.min(nearestS, slackS) : nearestS;
        }
        if (nearestS < Double.POSITIVE_INFINITY) {
            return nearestS;
        }
        return latestS > Double.NEGATIVE_INFINITY ? latestS : DEFAULT_DUE_RUNS * runS - ageS - runS;
    }
}

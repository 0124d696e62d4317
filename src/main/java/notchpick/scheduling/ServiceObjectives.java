package notchpick.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What the operators have promised their users, by class of jobs. */
public record ServiceObjectives(Map<String, List<Objective>> byClass) {
    public static final ServiceObjectives NONE = new ServiceObjectives(Map.of());
    /** A job of which nothing was promised is due after so many of its run times. */
    private static final double UNPROMISED_RUNS = 10;

    /** What an objective is about. */
    public enum Kind {
        /** All tasks are to be started within so many seconds. */
        STARTED,
        /** The job is to be done within so many seconds. */
        FINISHED,
        /** The job is to be done within so many times its own deadline. */
        DEADLINE
    }

    /** What is promised of a class of jobs: that a time, in seconds, stays within a limit. */
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

    /** What was promised of its class, and its own deadline in any case. */
    private List<Objective> of(JobSpec spec) {
        List<Objective> own = byClass.getOrDefault(spec.jobClass(), List.of());
        if (spec.deadlineS() == null || own.stream().anyMatch(objective -> objective.kind() == Kind.DEADLINE)) {
            return own;
        }
        List<Objective> all = new ArrayList<>(own);
        all.add(new Objective(Kind.DEADLINE, 1));
        return all;
    }

    /** Whether something was promised of the job that can still be kept. */
    public boolean isAttainable(JobSpec spec, double ageS, double runS) {
        for (Objective objective : of(spec)) {
            if (objective.appliesTo(spec) && objective.slackS(spec, ageS, runS) >= 0) {
                return true;
            }
        }
        return false;
    }

    /**
     * For how long the job may wait and still be in time: by the nearest objective that can be met. Negative
     * if none can be met any more.
     *
     * @param ageS since it is ready
     * @param runS what a task of it is expected to run
     */
    public double slackS(JobSpec spec, double ageS, double runS) {
        double nearest = Double.POSITIVE_INFINITY;
        double last = Double.NEGATIVE_INFINITY;
        for (Objective objective : of(spec)) {
            if (!objective.appliesTo(spec)) {
                continue;
            }
            double slackS = objective.slackS(spec, ageS, runS);
            last = Math.max(last, slackS);
            nearest = slackS >= 0 ? Math.min(nearest, slackS) : nearest;
        }
        if (nearest < Double.POSITIVE_INFINITY) {
            return nearest;
        }
        return last > Double.NEGATIVE_INFINITY ? last : UNPROMISED_RUNS * runS - ageS - runS;
    }
}

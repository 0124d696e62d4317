package notchpick.scheduling;

import java.util.List;
import java.util.Map;

/**
 * The specification of a job that a user submitted.
 *
 * @param jobClass the class of jobs for which service-level objectives are set and run times are learnt
 * @param demand the resources of one task
 * @param types allowed machine types, or null for any
 * @param zone the only allowed zone, or null for any
 * @param colocated whether all tasks must be in the same zone
 * @param spread whether no zone may have more than half of the tasks
 * @param spot whether the job accepts spot instances
 * @param estimateS the user's estimate of one task's run time, in seconds; 0 if there is none
 * @param checkpointIntervalS the time between checkpoints, in seconds; 0 if the tasks write none
 * @param deadlineS the requested time from submission to completion, in seconds, or null
 * @param submittedAtMs the wall-clock time at which the job was accepted, in milliseconds since the epoch
 * @param dependencies the ids of the jobs that must be complete before any task of this one starts
 * @param readyAtMs the wall-clock time since which the job waits for nothing but resources, in milliseconds since the
 *     epoch: its submission, or the end of its last dependency
 */
public record JobSpec(
        String id,
        String jobClass,
        String team,
        Form form,
        Priority priority,
        int tasks,
        Resources demand,
        List<String> types,
        String zone,
        boolean colocated,
        boolean spread,
        boolean spot,
        String image,
        double imageGb,
        double estimateS,
        double checkpointIntervalS,
        double checkpointWriteS,
        Double deadlineS,
        long submittedAtMs,
        List<String> dependencies,
        long readyAtMs) {

    /** Returns a builder for a job without demand, constraints, deadline or dependencies. */
    public static Builder builder(String id) {
        return new Builder(id);
    }

    /** Returns a builder that holds a copy of this specification. */
    public Builder toBuilder() {
        Builder builder = new Builder(id);
        builder.jobClass = jobClass;
        builder.team = team;
        builder.form = form;
        builder.priority = priority;
        builder.tasks = tasks;
        builder.demand = demand;
        builder.types = types;
        builder.zone = zone;
        builder.colocated = colocated;
        builder.spread = spread;
        builder.spot = spot;
        builder.image = image;
        builder.imageGb = imageGb;
        builder.estimateS = estimateS;
        builder.checkpointIntervalS = checkpointIntervalS;
        builder.checkpointWriteS = checkpointWriteS;
        builder.deadlineS = deadlineS;
        builder.submittedAtMs = submittedAtMs;
        builder.dependencies = dependencies;
        builder.readyAtMs = readyAtMs;
        return builder;
    }

    /** Builds a specification; each setter sets the component of the same name. */
    public static final class Builder {
        private final String id;
        private String jobClass = "";
        private String team = "";
        private Form form = Form.ARRAY;
        private Priority priority = Priority.NORMAL;
        private int tasks = 1;
        private Resources demand = Resources.NONE;
        private List<String> types;
        private String zone;
        private boolean colocated;
        private boolean spread;
        private boolean spot;
        private String image = "";
        private double imageGb;
        private double estimateS;
        private double checkpointIntervalS;
        private double checkpointWriteS;
        private Double deadlineS;
        private long submittedAtMs;
        private List<String> dependencies = List.of();
        private Long readyAtMs;

        private Builder(String id) {
            this.id = id;
        }

        /** Sets the class of jobs for which service-level objectives are set and run times are learnt. */
        public Builder jobClass(String value) {
            jobClass = value;
            return this;
        }

        /** Sets the team whose share and quota the job counts towards. */
        public Builder team(String value) {
            team = value;
            return this;
        }

        /** Sets whether the tasks are independent runs or replicas of a service. */
        public Builder form(Form value) {
            form = value;
            return this;
        }

        /** Sets the priority. */
        public Builder priority(Priority value) {
            priority = value;
            return this;
        }

        /** Sets the number of tasks. */
        public Builder tasks(int value) {
            tasks = value;
            return this;
        }

        /** Sets the resources of one task. */
        public Builder demand(Resources value) {
            demand = value;
            return this;
        }

        /** Sets the allowed machine types, or null for any. */
        public Builder types(List<String> value) {
            types = value;
            return this;
        }

        /** Sets the only allowed zone, or null for any. */
        public Builder zone(String value) {
            zone = value;
            return this;
        }

        /** Sets whether all tasks must be in the same zone. */
        public Builder colocated(boolean value) {
            colocated = value;
            return this;
        }

        /** Sets whether no zone may have more than half of the tasks. */
        public Builder spread(boolean value) {
            spread = value;
            return this;
        }

        /** Sets whether the job accepts spot instances. */
        public Builder spot(boolean value) {
            spot = value;
            return this;
        }

        /** Sets the name of the container image. */
        public Builder image(String value) {
            image = value;
            return this;
        }

        /** Sets the size of the image in GB. */
        public Builder imageGb(double value) {
            imageGb = value;
            return this;
        }

        /** Sets the user's estimate of one task's run time in seconds; 0 if there is none. */
        public Builder estimateS(double value) {
            estimateS = value;
            return this;
        }

        /** Sets the time between checkpoints in seconds; 0 if the tasks write none. */
        public Builder checkpointIntervalS(double value) {
            checkpointIntervalS = value;
            return this;
        }

        /** Sets how long a task takes to write a checkpoint, in seconds. */
        public Builder checkpointWriteS(double value) {
            checkpointWriteS = value;
            return this;
        }

        /** Sets the requested time from submission to completion in seconds, or null. */
        public Builder deadlineS(Double value) {
            deadlineS = value;
            return this;
        }

        /** Sets the wall-clock time at which the job was accepted, in milliseconds since the epoch. */
        public Builder submittedAtMs(long value) {
            submittedAtMs = value;
            return this;
        }

        /** Sets the ids of the jobs that must be complete before any task of this one starts. */
        public Builder dependencies(List<String> value) {
            dependencies = value;
            return this;
        }

        /** Sets the wall-clock time since which the job waits for nothing but resources; by default its submission. */
        public Builder readyAtMs(long value) {
            readyAtMs = value;
            return this;
        }

        /** Builds the specification. */
        public JobSpec build() {
            return new JobSpec(
                    id,
                    jobClass,
                    team,
                    form,
                    priority,
                    tasks,
                    demand,
                    types,
                    zone,
                    colocated,
                    spread,
                    spot,
                    image,
                    imageGb,
                    estimateS,
                    checkpointIntervalS,
                    checkpointWriteS,
                    deadlineS,
                    submittedAtMs,
                    dependencies,
                    readyAtMs == null ? submittedAtMs : readyAtMs);
        }
    }

    /** Returns a copy with the priority and deadline that the job inherits from its dependents. */
    public JobSpec withEffectivePriority(Priority effective, Double effectiveDeadlineS) {
        return toBuilder().priority(effective).deadlineS(effectiveDeadlineS).build();
    }

    /** Returns a copy that is blocked by its dependencies until this time. */
    public JobSpec withReadyAtMs(long newReadyAtMs) {
        return toBuilder().readyAtMs(newReadyAtMs).build();
    }

    /**
     * The time since the job became ready, in seconds, whether it has waited or run since then.
     *
     * @param wallTimeMs the current wall-clock time, in milliseconds since the epoch
     */
    public double ageS(long wallTimeMs) {
        return (wallTimeMs - readyAtMs) / Milliseconds.PER_SECOND;
    }

    /** How long its dependencies blocked the job, in seconds; this time counts towards its deadline. */
    public double blockedS() {
        return (readyAtMs - submittedAtMs) / Milliseconds.PER_SECOND;
    }

    /** How the tasks of a job run. */
    public enum Form {
        /** Independent tasks that each run to completion. */
        ARRAY,
        /** Replicas that run at the same time. */
        SERVICE
    }

    /** The priorities, highest first. */
    public enum Priority {
        PRODUCTION,
        HIGH,
        NORMAL,
        LOW
    }

    /** The name of one task of a job in messages to and from workers. */
    public static String taskName(String job, int task) {
        return job + "/" + task;
    }

    /** Whether the job may preempt work of lower priority. */
    public boolean isUrgent() {
        return priority.compareTo(Priority.HIGH) <= 0;
    }

    public boolean isService() {
        return form == Form.SERVICE;
    }

    /** Whether the zones of the job's other tasks restrict where a task may run. */
    public boolean hasZoneConstraint() {
        return colocated || spread;
    }

    /**
     * Whether colocation and spreading allow one more task in this zone. While tasks of a colocated job are, or may be,
     * in several zones, no zone is allowed, as any of them may be the one where tasks really run.
     *
     * @param tasksByZone the number of the job's tasks that are, or may be, in each zone
     */
    public boolean allowsZoneAmongTasks(String taskZone, Map<String, Integer> tasksByZone) {
        if (colocated && !tasksByZone.keySet().stream().allMatch(taskZone::equals)) {
            return false;
        }
        return !spread || tasksByZone.getOrDefault(taskZone, 0) < maxTasksPerZone();
    }

    /** The maximum number of the job's tasks in one zone. */
    public int maxTasksPerZone() {
        return spread ? (tasks + 1) / 2 : tasks;
    }

    public boolean allowsType(String type) {
        return types == null || types.contains(type);
    }

    public boolean allowsZone(String taskZone) {
        return zone == null || zone.equals(taskZone);
    }

    /** Whether a task may run on a machine of this kind. Colocation and spreading are not considered. */
    public boolean allows(String type, String taskZone, boolean onSpot) {
        return allowsType(type) && allowsZone(taskZone) && (spot || !onSpot);
    }
}

package notchpick.scheduling;

import java.util.List;
import java.util.Map;

/**
 * What a user asked for.
 *
 * @param jobClass the class by which objectives are set and run times are learnt
 * @param demand the resources of one task
 * @param types allowed machine types, or null for any
 * @param zone the only allowed zone, or null for any
 * @param colocated whether all tasks must be in the same zone
 * @param spread whether no zone may have more than half of the tasks
 * @param spot whether the job accepts spot instances
 * @param estimateS the user's estimate of one task's run time; 0 if there is none
 * @param checkpointIntervalS 0 if the tasks write no checkpoints
 * @param deadlineS the time from submission to completion that the user asks for, or null
 * @param submittedAtMs wall-clock time of the acceptance, in milliseconds since the epoch
 * @param dependencies the jobs that must be complete before any task of this one starts
 * @param readyAtMs since when it waits for resources alone: its submission, or the end of its last dependency
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

    /** Begins a specification of a job without demand, constraints, deadline and dependencies. */
    public static Builder builder(String id) {
        return new Builder(id);
    }

    /** Begins a copy of this specification, of which parts can be replaced. */
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

    /** Builds specifications; each setter sets the component of the same name. */
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

        /** Sets the class by which objectives are set and run times are learnt. */
        public Builder jobClass(String value) {
            jobClass = value;
            return this;
        }

        /** Sets the team whose share and quota the job counts in. */
        public Builder team(String value) {
            team = value;
            return this;
        }

        /** Sets how the tasks relate. */
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

        /** Sets the user's estimate of one task's run time; 0 if there is none. */
        public Builder estimateS(double value) {
            estimateS = value;
            return this;
        }

        /** Sets the time between checkpoints; 0 if the tasks write none. */
        public Builder checkpointIntervalS(double value) {
            checkpointIntervalS = value;
            return this;
        }

        /** Sets how long a task takes to write a checkpoint. */
        public Builder checkpointWriteS(double value) {
            checkpointWriteS = value;
            return this;
        }

        /** Sets the time from submission to completion that the user asks for, or null. */
        public Builder deadlineS(Double value) {
            deadlineS = value;
            return this;
        }

        /** Sets the wall-clock time of the acceptance, in milliseconds since the epoch. */
        public Builder submittedAtMs(long value) {
            submittedAtMs = value;
            return this;
        }

        /** Sets the jobs that must be complete before any task of this one starts. */
        public Builder dependencies(List<String> value) {
            dependencies = value;
            return this;
        }

        /** Sets since when the job waits for resources alone; by default its submission. */
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

    /** The same job with the priority and deadline that it inherits from its dependents. */
    public JobSpec withEffectivePriority(Priority effective, Double effectiveDeadlineS) {
        return toBuilder().priority(effective).deadlineS(effectiveDeadlineS).build();
    }

    /** The same job, blocked by its dependencies until this time. */
    public JobSpec withReadyAtMs(long newReadyAtMs) {
        return toBuilder().readyAtMs(newReadyAtMs).build();
    }

    /**
     * The time since it is ready, waiting for resources or running.
     *
     * @param wallTimeMs the time of day, in milliseconds since the epoch
     */
    public double ageS(long wallTimeMs) {
        return (wallTimeMs - readyAtMs) / Milliseconds.PER_SECOND;
    }

    /** How long its dependencies blocked it, a time that counts towards its deadline. */
    public double blockedS() {
        return (readyAtMs - submittedAtMs) / Milliseconds.PER_SECOND;
    }

    /** How the tasks of a job relate. */
    public enum Form {
        /** Tasks that run to completion, each by itself. */
        ARRAY,
        /** Replicas that run side by side. */
        SERVICE
    }

    /** The priorities, the highest first. */
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

    /** Whether it may preempt work of lower priority. */
    public boolean isUrgent() {
        return priority.compareTo(Priority.HIGH) <= 0;
    }

    public boolean isService() {
        return form == Form.SERVICE;
    }

    /** Whether the zones of its other tasks restrict where a task may run. */
    public boolean hasZoneConstraint() {
        return colocated || spread;
    }

    /**
     * Whether its zone constraint allows one more task in this zone.
     *
     * @param tasksByZone how many of the job's tasks are, or may be, in each zone
     */
    public boolean allowsZoneAmongTasks(String taskZone, Map<String, Integer> tasksByZone) {
        if (colocated && !tasksByZone.isEmpty() && !tasksByZone.containsKey(taskZone)) {
            return false;
        }
        return !spread || tasksByZone.getOrDefault(taskZone, 0) < maxTasksPerZone();
    }

    /** How many of the tasks may be in one zone. */
    public int maxTasksPerZone() {
        return spread ? (tasks + 1) / 2 : tasks;
    }

    public boolean allowsType(String type) {
        return types == null || types.contains(type);
    }

    public boolean allowsZone(String taskZone) {
        return zone == null || zone.equals(taskZone);
    }

    /** Whether a machine of this type, zone and kind may run its tasks, its zone constraint aside. */
    public boolean allows(String type, String taskZone, boolean onSpot) {
        return allowsType(type) && allowsZone(taskZone) && (spot || !onSpot);
    }
}

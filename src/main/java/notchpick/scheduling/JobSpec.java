package notchpick.scheduling;

import java.util.List;
import java.util.Map;

/**
 * What a user asked for.
 *
 * @param types allowed machine types, or null for any
 * @param zone the only allowed zone, or null
 * @param deadlineS when the job should be complete after its submission, or null
 * @param submittedAt wall-clock time of the acceptance, in milliseconds
 * @param dependencies the jobs that must be done before any task of this one starts
 * @param readyAt since when it waits for nothing but resources: its submission, or the end of the last dependency
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
        long submittedAt,
        List<String> dependencies,
        long readyAt) {
    private static final double MS_PER_S = 1000;

    /** Starts a specification, of a job without demand, constraints, deadline and dependencies. */
    public static Builder builder(String id) {
        return new Builder(id);
    }

    /** Starts a specification that is the same but for what is set then. */
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
        builder.submittedAt = submittedAt;
        builder.dependencies = dependencies;
        builder.readyAt = readyAt;
        return builder;
    }

    /** Makes specifications; each setter takes what the component of the same name stands for. */
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
        private long submittedAt;
        private List<String> dependencies = List.of();
        private Long readyAt;

        private Builder(String id) {
            this.id = id;
        }

        /** Sets what the component stands for. */
        public Builder jobClass(String value) {
            jobClass = value;
            return this;
        }

        /** Sets what the component stands for. */
        public Builder team(String value) {
            team = value;
            return this;
        }

        /** Sets what the component stands for. */
        public Builder form(Form value) {
            form = value;
            return this;
        }

        /** Sets what the component stands for. */
        public Builder priority(Priority value) {
            priority = value;
            return this;
        }

        /** Sets what the component stands for. */
        public Builder tasks(int value) {
            tasks = value;
            return this;
        }

        /** Sets what the component stands for. */
        public Builder demand(Resources value) {
            demand = value;
            return this;
        }

        /** Sets allowed machine types, or null for any. */
        public Builder types(List<String> value) {
            types = value;
            return this;
        }

        /** Sets the only allowed zone, or null. */
        public Builder zone(String value) {
            zone = value;
            return this;
        }

        /** Sets whether all tasks must be in the same zone. */
        public Builder colocated(boolean value) {
            colocated = value;
            return this;
        }

        /** Sets whether the tasks must be spread over zones. */
        public Builder spread(boolean value) {
            spread = value;
            return this;
        }

        /** Sets whether spot machines may be used. */
        public Builder spot(boolean value) {
            spot = value;
            return this;
        }

        /** Sets what the component stands for. */
        public Builder image(String value) {
            image = value;
            return this;
        }

        /** Sets the size of the image. */
        public Builder imageGb(double value) {
            imageGb = value;
            return this;
        }

        /** Sets what the user expects a task to run; 0 if unknown. */
        public Builder estimateS(double value) {
            estimateS = value;
            return this;
        }

        /** Sets 0 if the tasks write no checkpoints. */
        public Builder checkpointIntervalS(double value) {
            checkpointIntervalS = value;
            return this;
        }

        /** Sets how long a task takes to write a checkpoint. */
        public Builder checkpointWriteS(double value) {
            checkpointWriteS = value;
            return this;
        }

        /** Sets when the job should be complete after its submission, or null. */
        public Builder deadlineS(Double value) {
            deadlineS = value;
            return this;
        }

        /** Sets wall-clock time of the acceptance, in milliseconds. */
        public Builder submittedAt(long value) {
            submittedAt = value;
            return this;
        }

        /** Sets the jobs that must be done before any task of this one starts. */
        public Builder dependencies(List<String> value) {
            dependencies = value;
            return this;
        }

        /** Sets since when the job waits for nothing but resources; by default since its submission. */
        public Builder readyAt(long value) {
            readyAt = value;
            return this;
        }

        /** Makes the specification. */
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
                    submittedAt,
                    dependencies,
                    readyAt == null ? submittedAt : readyAt);
        }
    }

    /** The same job with the priority and deadline that it counts with, as inherited from its dependents. */
    public JobSpec withEffectivePriority(Priority effective, Double effectiveDeadlineS) {
        return toBuilder().priority(effective).deadlineS(effectiveDeadlineS).build();
    }

    /** The same job, blocked by its dependencies until then. */
    public JobSpec withReadyAt(long when) {
        return toBuilder().readyAt(when).build();
    }

    /** How long it has waited for resources, or run. */
    public double ageS(long wallTime) {
        return (wallTime - readyAt) / MS_PER_S;
    }

    /** How long it was blocked by its dependencies; its deadline has run meanwhile. */
    public double blockedS() {
        return (readyAt - submittedAt) / MS_PER_S;
    }

    /** How the tasks of a job relate. */
    public enum Form {
        ARRAY,
        SERVICE
    }

    /** Highest first. */
    public enum Priority {
        PRODUCTION,
        HIGH,
        NORMAL,
        LOW
    }

    /** The name under which workers know one task of a job. */
    public static String taskName(String job, int task) {
        return job + "/" + task;
    }

    /** Urgent work does not wait for other work to end by itself. */
    public boolean isUrgent() {
        return priority.ordinal() <= Priority.HIGH.ordinal();
    }

    public boolean isService() {
        return form == Form.SERVICE;
    }

    /** Whether where a task may go depends on where its fellows are. */
    public boolean hasZoneConstraint() {
        return colocated || spread;
    }

    /** @param fellows how many of the job's tasks are, or may be, in each zone */
    public boolean allowsZoneAmongTasks(String where, Map<String, Integer> fellows) {
        if (colocated && !fellows.isEmpty() && !fellows.containsKey(where)) {
            return false;
        }
        return !spread || fellows.getOrDefault(where, 0) < zoneLimit();
    }

    /** At most this many of the tasks may be in one zone. */
    public int zoneLimit() {
        return spread ? (tasks + 1) / 2 : tasks;
    }

    public boolean allowsType(String type) {
        return types == null || types.contains(type);
    }

    public boolean allowsZone(String where) {
        return zone == null || zone.equals(where);
    }

    /** Whether a machine of this make may run the job's tasks, their fellows left aside. */
    public boolean allows(String type, String where, boolean onSpot) {
        return allowsType(type) && allowsZone(where) && (spot || !onSpot);
    }
}

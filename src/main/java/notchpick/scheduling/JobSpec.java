package notchpick.scheduling;

import java.util.List;
import java.util.Map;

/**
 * What a user asked for, in the field's terms.
 *
 * @param types allowed machine types, or null for any
 * @param zone the only allowed zone, or null
 * @param deadlineS when the job should be complete after its submission, or null
 * @param submittedAt time of day of the acceptance, in milliseconds
 * @param needs the jobs that must be done before any task of this one starts
 * @param readyAt since when it waits for nothing but room: its submission, or when the last job that it needs was done
 */
public record JobSpec(
        String id,
        String jobClass,
        String team,
        Form form,
        Priority priority,
        int tasks,
        Amounts demand,
        List<String> types,
        String zone,
        boolean oneZone,
        boolean spread,
        boolean spot,
        String image,
        double imageGb,
        double estimateS,
        double checkpointS,
        double saveS,
        Double deadlineS,
        long submittedAt,
        List<String> needs,
        long readyAt) {

    /** A job that needs no other. */
    public JobSpec(
            String id,
            String jobClass,
            String team,
            Form form,
            Priority priority,
            int tasks,
            Amounts demand,
            List<String> types,
            String zone,
            boolean oneZone,
            boolean spread,
            boolean spot,
            String image,
            double imageGb,
            double estimateS,
            double checkpointS,
            double saveS,
            Double deadlineS,
            long submittedAt) {
        this(
                id,
                jobClass,
                team,
                form,
                priority,
                tasks,
                demand,
                types,
                zone,
                oneZone,
                spread,
                spot,
                image,
                imageGb,
                estimateS,
                checkpointS,
                saveS,
                deadlineS,
                submittedAt,
                List.of(),
                submittedAt);
    }

    /** The same job as it counts once it has taken priority and deadline over from others. */
    public JobSpec counting(Priority as, Double due) {
        return new JobSpec(
                id,
                jobClass,
                team,
                form,
                as,
                tasks,
                demand,
                types,
                zone,
                oneZone,
                spread,
                spot,
                image,
                imageGb,
                estimateS,
                checkpointS,
                saveS,
                due,
                submittedAt,
                needs,
                readyAt);
    }

    /** The same job, held back by others until then. */
    public JobSpec readyAt(long when) {
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
                oneZone,
                spread,
                spot,
                image,
                imageGb,
                estimateS,
                checkpointS,
                saveS,
                deadlineS,
                submittedAt,
                needs,
                when);
    }

    /** How long it has waited for room, or run. */
    public double ageS(long wallTime) {
        return (wallTime - readyAt) / 1000.0;
    }

    /** How long it was held back by jobs that it needs; its deadline has run meanwhile. */
    public double heldS() {
        return (readyAt - submittedAt) / 1000.0;
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
    public boolean isConstrained() {
        return oneZone || spread;
    }

    /** @param fellows how many of the job's tasks are, or may be, in each zone */
    public boolean allowsAmongFellows(String where, Map<String, Integer> fellows) {
        if (oneZone && !fellows.isEmpty() && !fellows.containsKey(where)) {
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

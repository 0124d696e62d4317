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
        long submittedAt) {

    /** How the tasks of a job relate. */
    public enum Form { ARRAY, SERVICE }

    /** Highest first. */
    public enum Priority { PRODUCTION, HIGH, NORMAL, LOW }

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

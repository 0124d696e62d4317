package notchpick.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.JobSpec.Form;
import notchpick.scheduling.JobSpec.Priority;
import notchpick.scheduling.Resources;

/** The messages of users, and the replies to them. */
public final class UserProtocol {
    private static final Pattern JOB_ID = Pattern.compile("run-[0-9]{1,18}");
    private static final int MAX_TASKS = 100_000;

    private static final String FORM = "jobForm";
    private static final String PRIORITY = "urgency";
    private static final String DEPENDENCIES = "waitsOn";
    private static final String DEADLINE_S = "dueS";

    private UserProtocol() {}

    public static boolean isJobId(String text) {
        return JOB_ID.matcher(text).matches();
    }

    /**
     * Reads a submission.
     *
     * @param body null if the message holds no JSON object
     * @param receivedAtMs wall-clock time
     */
    public static JobSpec submission(ObjectNode body, long receivedAtMs) throws InvalidMessageException {
        String id = jobId(body);
        // The first fault in this order is the one that the user is told.
        Form form = form(body);
        Priority priority = priority(body);
        Resources demand = demand(body);
        return JobSpec.builder(id)
                .jobClass(Json.text(body, "workclass"))
                .team(Json.text(body, "ownerDesk"))
                .form(form)
                .priority(priority)
                .tasks((int) Json.integer(body, WireFields.TASKS, 1, MAX_TASKS))
                .demand(demand)
                .types(machineTypes(body).orElse(null))
                .zone(Json.isAbsent(body, WireFields.ZONE) ? null : Json.text(body, WireFields.ZONE))
                .colocated(Json.bool(body, "oneZone"))
                .spread(Json.bool(body, "apart"))
                .spot(Json.bool(body, WireFields.SPOT))
                .image(Json.text(body, "bundle"))
                .imageGb(amount(body, "sizeGb"))
                .estimateS(amount(body, "expectedS"))
                .checkpointIntervalS(amount(body, "bookmarkS"))
                .checkpointWriteS(amount(body, "bookmarkWriteS"))
                .deadlineS(Json.isAbsent(body, DEADLINE_S) ? null : amount(body, DEADLINE_S))
                .submittedAtMs(receivedAtMs)
                .dependencies(dependencies(body))
                .build();
    }

    private static Form form(ObjectNode body) throws InvalidMessageException {
        return switch (Json.text(body, FORM)) {
            case "sweep" -> Form.ARRAY;
            case "service" -> Form.SERVICE;
            default -> throw new InvalidMessageException(FORM, body.get(FORM), "is none of sweep, service");
        };
    }

    private static Priority priority(ObjectNode body) throws InvalidMessageException {
        return switch (Json.text(body, PRIORITY)) {
            case "prod" -> Priority.PRODUCTION;
            case "high" -> Priority.HIGH;
            case "normal" -> Priority.NORMAL;
            case "idle" -> Priority.LOW;
            default ->
                throw new InvalidMessageException(PRIORITY, body.get(PRIORITY), "is none of prod, high, normal, idle");
        };
    }

    private static Resources demand(ObjectNode body) throws InvalidMessageException {
        return new Resources(
                amount(body, WireFields.CORES), amount(body, WireFields.GPUS), amount(body, WireFields.RAM_GB));
    }

    private static double amount(ObjectNode body, String field) throws InvalidMessageException {
        return Json.number(body, field, 0, WireFields.MAX_AMOUNT);
    }

    private static Optional<List<String>> machineTypes(ObjectNode body) throws InvalidMessageException {
        Optional<List<String>> types = Json.texts(body, WireFields.MACHINE_TYPES);
        if (types.isPresent() && types.get().isEmpty()) {
            throw new InvalidMessageException(
                    WireFields.MACHINE_TYPES, body.get(WireFields.MACHINE_TYPES), "must name a machine type");
        }
        return types;
    }

    /** Each job once, however often it is named. */
    private static List<String> dependencies(ObjectNode body) throws InvalidMessageException {
        List<String> ids = Json.texts(body, DEPENDENCIES).orElse(List.of());
        for (String id : ids) {
            if (!isJobId(id)) {
                throw new InvalidMessageException(
                        DEPENDENCIES, body.get(DEPENDENCIES), "must be a list of ids of the form run-000412");
            }
        }
        return ids.stream().distinct().toList();
    }

    /**
     * Reads the id alone: the retry of a submission that was accepted is answered whatever else it holds.
     *
     * @param body null if the message holds no JSON object
     */
    public static String jobId(ObjectNode body) throws InvalidMessageException {
        if (body == null) {
            throw InvalidMessageException.notAnObject();
        }
        String id = Json.text(body, WireFields.REFERENCE);
        if (!isJobId(id)) {
            throw new InvalidMessageException(
                    WireFields.REFERENCE, body.get(WireFields.REFERENCE), "must have the form run-000412");
        }
        return id;
    }

    /** The body of a reply that gives a job's status. */
    public static ObjectNode status(String job, String status) {
        return Json.object().put(WireFields.REFERENCE, job).put(WireFields.STATUS, status);
    }

    /** The body of a reply that gives a job's status, and how many of its tasks are done or running. */
    public static ObjectNode status(String job, String status, int done, int running) {
        return status(job, status).put("done", done).put("running", running);
    }

    /** The body of a reply that refuses a request. */
    public static JsonNode error(String message) {
        return Json.object().put(WireFields.ERROR, message);
    }
}

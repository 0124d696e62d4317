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

/** Parses the requests of users and builds the replies to them. */
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
     * Parses a submission.
     *
     * @param body null if the request body is not a JSON object
     * @param receivedAtMs the wall-clock time at which the submission was received
     */
    public static JobSpec submission(ObjectNode body, long receivedAtMs) throws InvalidMessageException {
        String id = jobId(body);
        // The reply names only the first invalid field, so the order of these checks is visible to users.
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
            default -> throw new InvalidMessageException(FORM, body.get(FORM), "must be sweep or service");
        };
    }

    private static Priority priority(ObjectNode body) throws InvalidMessageException {
        return switch (Json.text(body, PRIORITY)) {
            case "prod" -> Priority.PRODUCTION;
            case "high" -> Priority.HIGH;
            case "normal" -> Priority.NORMAL;
            case "idle" -> Priority.LOW;
            default ->
                throw new InvalidMessageException(PRIORITY, body.get(PRIORITY), "must be prod, high, normal or idle");
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
                    WireFields.MACHINE_TYPES,
                    body.get(WireFields.MACHINE_TYPES),
                    "must name at least one machine type");
        }
        return types;
    }

    /** Parses the ids of the jobs that must be done first, without duplicates. */
    private static List<String> dependencies(ObjectNode body) throws InvalidMessageException {
        List<String> ids = Json.texts(body, DEPENDENCIES).orElse(List.of());
        for (String id : ids) {
            if (!isJobId(id)) {
                throw new InvalidMessageException(
                        DEPENDENCIES, body.get(DEPENDENCIES), "must be a list of job ids of the form run-000412");
            }
        }
        return ids.stream().distinct().toList();
    }

    /**
     * Parses only the job id. The retry of an accepted submission is answered by its id, whatever other fields hold.
     *
     * @param body null if the request body is not a JSON object
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

    /** Builds the body of a reply with a job's status. */
    public static ObjectNode status(String job, String status) {
        return Json.object().put(WireFields.REFERENCE, job).put(WireFields.STATUS, status);
    }

    /** Builds the body of a reply with a job's status and the numbers of its tasks that are done and running. */
    public static ObjectNode status(String job, String status, int done, int running) {
        return status(job, status).put("done", done).put("running", running);
    }

    /** Builds the body of a reply that rejects a request. */
    public static JsonNode error(String message) {
        return Json.object().put(WireFields.ERROR, message);
    }
}

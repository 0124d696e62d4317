package notchpick.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.regex.Pattern;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.JobSpec.Form;
import notchpick.scheduling.JobSpec.Priority;
import notchpick.scheduling.Resources;

/** What users send and are told. */
public final class UserProtocol {
    private static final Pattern JOB_ID = Pattern.compile("run-[0-9]{1,18}");
    private static final int MAX_TASKS = 100_000;
    private static final double MAX_AMOUNT = 1e9;

    private UserProtocol() {}

    public static boolean isJobId(String text) {
        return JOB_ID.matcher(text).matches();
    }

    /** Reads a submission that came at this time of day. */
    public static JobSpec submission(ObjectNode body, long now) throws InvalidMessageException {
        if (body == null) {
            throw new InvalidMessageException("the body must be a JSON object");
        }
        String id = jobId(body);
        Form form = switch (Json.text(body, "jobForm")) {
            case "sweep" -> Form.ARRAY;
            case "service" -> Form.SERVICE;
            default -> throw new InvalidMessageException("jobForm is none of sweep, service");
        };
        Priority priority = switch (Json.text(body, "urgency")) {
            case "prod" -> Priority.PRODUCTION;
            case "high" -> Priority.HIGH;
            case "normal" -> Priority.NORMAL;
            case "idle" -> Priority.LOW;
            default -> throw new InvalidMessageException("urgency is none of prod, high, normal, idle");
        };
        Resources demand = new Resources(
                Json.amount(body, "cores", 0, MAX_AMOUNT),
                Json.amount(body, "gpus", 0, MAX_AMOUNT),
                Json.amount(body, "ramGb", 0, MAX_AMOUNT));
        return JobSpec.builder(id)
                .jobClass(Json.text(body, "workclass"))
                .team(Json.text(body, "ownerDesk"))
                .form(form)
                .priority(priority)
                .tasks((int) Json.count(body, "pieces", 1, MAX_TASKS))
                .demand(demand)
                .types(types(body))
                .zone(Json.absent(body, "site") ? null : Json.text(body, "site"))
                .colocated(Json.flag(body, "oneZone"))
                .spread(Json.flag(body, "apart"))
                .spot(Json.flag(body, "borrowed"))
                .image(Json.text(body, "bundle"))
                .imageGb(Json.amount(body, "sizeGb", 0, MAX_AMOUNT))
                .estimateS(Json.amount(body, "expectedS", 0, MAX_AMOUNT))
                .checkpointIntervalS(Json.amount(body, "bookmarkS", 0, MAX_AMOUNT))
                .checkpointWriteS(Json.amount(body, "bookmarkWriteS", 0, MAX_AMOUNT))
                .deadlineS(Json.absent(body, "dueS") ? null : Json.amount(body, "dueS", 0, MAX_AMOUNT))
                .submittedAt(now)
                .dependencies(dependencies(body))
                .build();
    }

    private static List<String> types(ObjectNode body) throws InvalidMessageException {
        List<String> types = Json.texts(body, "boxKinds");
        if (types != null && types.isEmpty()) {
            throw new InvalidMessageException("boxKinds must name a machine type");
        }
        return types;
    }

    /** Each job once, however often it is named. */
    private static List<String> dependencies(ObjectNode body) throws InvalidMessageException {
        List<String> named = Json.texts(body, "waitsOn");
        if (named == null) {
            return List.of();
        }
        for (String job : named) {
            if (!isJobId(job)) {
                throw new InvalidMessageException("waitsOn must be a list of ids of the form run-000412");
            }
        }
        return named.stream().distinct().toList();
    }

    /** The id alone: a job known already is answered whatever else its retry says. */
    public static String jobId(ObjectNode body) throws InvalidMessageException {
        String id = Json.text(body, "ref");
        if (!isJobId(id)) {
            throw new InvalidMessageException("ref must have the form run-000412");
        }
        return id;
    }

    public static ObjectNode status(String job, String status) {
        return Json.object().put("ref", job).put("status", status);
    }

    public static ObjectNode status(String job, String status, int done, int running) {
        return status(job, status).put("done", done).put("running", running);
    }

    public static JsonNode error(String message) {
        return Json.object().put("error", message);
    }
}

package notchpick.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** Parses the heartbeats of workers and builds the replies to them, which carry commands. */
public final class WorkerProtocol {
    /** How long a worker waits for the reply to its heartbeat. */
    public static final long REPLY_TIMEOUT_MS = 4000;

    private static final String RECLAIM_NOTICE_S = "recallS";
    private static final String EXIT_REASON = "exitCause";
    private static final String COMMAND = "orderKind";

    private WorkerProtocol() {}

    /** The state of a task on its worker, as the worker reports it. */
    public enum TaskPhase {
        FETCHING,
        RUNNING,
        CHECKPOINTING,
        EXITED
    }

    /** Why a task ended. */
    public enum ExitReason {
        DONE,
        STOPPED,
        ERROR,
        FULL,
        IN_USE,
        UNKNOWN
    }

    /**
     * The status of a task in a heartbeat.
     *
     * @param exit null until the task has exited
     */
    public record TaskStatus(String name, String job, int task, long attempt, TaskPhase phase, ExitReason exit) {}

    /**
     * A heartbeat of a worker.
     *
     * @param incarnation increases each time the worker's lease expires
     * @param sequence the number of the heartbeat within the incarnation
     * @param fencingToken the highest fencing token that the worker has received
     * @param reclaimNoticeS seconds until the cloud reclaims the spot machine; null if no notice was given
     */
    public record Heartbeat(
            String machine,
            String address,
            String type,
            String zone,
            boolean spot,
            long incarnation,
            long sequence,
            long fencingToken,
            Double reclaimNoticeS,
            List<TaskStatus> tasks) {}

    /** A command to a worker. */
    public sealed interface TaskCommand {
        /** The name of the task: its job id and its index, separated by a slash. */
        String task();

        /** The attempt that the command applies to. */
        long attempt();
    }

    /** Starts an attempt of the task. */
    public record StartTask(String task, long attempt) implements TaskCommand {}

    /** Stops the attempt after writing a checkpoint if the grace period is long enough. */
    public record StopTask(String task, long attempt, double graceS) implements TaskCommand {}

    /** Stops reporting the exited attempt in heartbeats. */
    public record ForgetTask(String task, long attempt) implements TaskCommand {}

    /**
     * Parses a heartbeat.
     *
     * @param body null if the request body is not a JSON object
     */
    public static Heartbeat heartbeat(ObjectNode body) throws InvalidMessageException {
        if (body == null) {
            throw InvalidMessageException.notAnObject();
        }
        // Parsed before the other fields: the reply names only the first invalid field in this order.
        List<TaskStatus> tasks = tasks(body.get(WireFields.TASKS));
        return new Heartbeat(
                Json.text(body, "box"),
                Json.isAbsent(body, "address") ? "" : Json.text(body, "address"),
                Json.text(body, WireFields.MACHINE_TYPE),
                Json.text(body, WireFields.ZONE),
                Json.bool(body, WireFields.SPOT),
                Json.integer(body, "shift", 0, Long.MAX_VALUE),
                Json.integer(body, "tally", 0, Long.MAX_VALUE),
                Json.integer(body, WireFields.FENCING_TOKEN, 0, Long.MAX_VALUE),
                Json.isAbsent(body, RECLAIM_NOTICE_S)
                        ? null
                        : Json.number(body, RECLAIM_NOTICE_S, 0, WireFields.MAX_AMOUNT),
                tasks);
    }

    private static List<TaskStatus> tasks(JsonNode list) throws InvalidMessageException {
        List<TaskStatus> tasks = new ArrayList<>();
        if (list != null && list.isArray()) {
            for (JsonNode task : list) {
                tasks.add(task(task));
            }
        }
        return tasks;
    }

    private static TaskStatus task(JsonNode node) throws InvalidMessageException {
        String name = Json.text(node, WireFields.TASK);
        int slash = name.lastIndexOf('/');
        int index;
        try {
            index = Integer.parseInt(name.substring(slash + 1));
        } catch (NumberFormatException e) {
            throw malformedName(node);
        }
        if (slash <= 0 || index < 0) {
            throw malformedName(node);
        }
        String job = name.substring(0, slash);
        TaskPhase phase = phase(node);
        ExitReason exit = phase == TaskPhase.EXITED ? exitReason(node) : null;
        long attempt = Json.integer(node, WireFields.ATTEMPT, 0, Long.MAX_VALUE);
        return new TaskStatus(name, job, index, attempt, phase, exit);
    }

    private static InvalidMessageException malformedName(JsonNode node) {
        return new InvalidMessageException(
                WireFields.TASK, node.get(WireFields.TASK), "must have the form run-000412/3");
    }

    private static TaskPhase phase(JsonNode node) throws InvalidMessageException {
        return switch (Json.text(node, WireFields.STATUS)) {
            case "fetching" -> TaskPhase.FETCHING;
            case "saving" -> TaskPhase.CHECKPOINTING;
            case "exited" -> TaskPhase.EXITED;
            // Later workers may report other phases; such a task counts as running, since it holds its resources.
            default -> TaskPhase.RUNNING;
        };
    }

    private static ExitReason exitReason(JsonNode node) throws InvalidMessageException {
        return switch (Json.isAbsent(node, EXIT_REASON) ? "" : Json.text(node, EXIT_REASON)) {
            case "done" -> ExitReason.DONE;
            case "stopped" -> ExitReason.STOPPED;
            case "full" -> ExitReason.FULL;
            case "in_use" -> ExitReason.IN_USE;
            case "unknown" -> ExitReason.UNKNOWN;
            default -> ExitReason.ERROR;
        };
    }

    /** Builds the body of a reply with commands under the leader's fencing token. */
    public static ObjectNode commands(long fencingToken, List<TaskCommand> commands) {
        ObjectNode reply = Json.object().put(WireFields.FENCING_TOKEN, fencingToken);
        ArrayNode list = reply.putArray("orders");
        for (TaskCommand command : commands) {
            ObjectNode node = list.addObject();
            if (command instanceof StartTask) {
                node.put(COMMAND, "run");
            } else if (command instanceof StopTask stop) {
                node.put(COMMAND, "halt").put("windDownS", stop.graceS());
            } else {
                node.put(COMMAND, "clear");
            }
            node.put(WireFields.TASK, command.task()).put(WireFields.ATTEMPT, command.attempt());
        }
        return reply;
    }

    /**
     * Builds the body of a reply that redirects a worker to another controller.
     *
     * @param controller null if none is known; the worker then tries the next one of its list
     */
    public static ObjectNode redirect(String controller) {
        ObjectNode reply = Json.object();
        if (controller != null) {
            reply.put("foreman", controller);
        }
        return reply;
    }
}

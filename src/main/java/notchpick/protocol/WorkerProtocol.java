package notchpick.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** The heartbeats of workers, and the commands in the replies to them. */
public final class WorkerProtocol {
    /** A worker waits this long for the reply to its heartbeat. */
    public static final long REPLY_TIMEOUT_MS = 4000;

    private static final String RECLAIM_NOTICE_S = "recallS";
    private static final String EXIT_REASON = "exitCause";
    private static final String COMMAND = "orderKind";

    private WorkerProtocol() {}

    /** The state of a task on its worker. */
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
     * A task as its worker sees it.
     *
     * @param exit null until the task has exited
     */
    public record TaskStatus(String name, String job, int task, long attempt, TaskPhase phase, ExitReason exit) {}

    /**
     * What a worker reports.
     *
     * @param sequence counts the heartbeats of an incarnation
     * @param fencingToken the highest token that the worker has seen
     * @param reclaimNoticeS seconds until the cloud reclaims the spot machine; null: no notice was given
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
        /** The task's name. */
        String task();

        /** The attempt that the command is about. */
        long attempt();
    }

    /** Starts an attempt of the task. */
    public record StartTask(String task, long attempt) implements TaskCommand {}

    /** Stops the attempt; a checkpoint is written first if the grace period suffices. */
    public record StopTask(String task, long attempt, double graceS) implements TaskCommand {}

    /** Drops the exited attempt from the heartbeats. */
    public record ForgetTask(String task, long attempt) implements TaskCommand {}

    /**
     * Reads a heartbeat.
     *
     * @param body null if the message holds no JSON object
     */
    public static Heartbeat heartbeat(ObjectNode body) throws InvalidMessageException {
        if (body == null) {
            throw InvalidMessageException.notAnObject();
        }
        // Before the other fields: the first fault in this order is the one that the worker is told.
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
            // A phase that later workers may add holds its resources like a running task.
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

    /** The body of a reply that gives a worker commands under the leader's fencing token. */
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
     * The body of a reply that redirects a worker to another controller.
     *
     * @param leader null if none is known to lead
     */
    public static ObjectNode redirect(String leader) {
        ObjectNode reply = Json.object();
        if (leader != null) {
            reply.put("foreman", leader);
        }
        return reply;
    }
}

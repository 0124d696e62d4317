package notchpick.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** What workers report and are told. */
public final class WorkerProtocol {
    /** A worker waits this long for an answer. */
    public static final long PATIENCE_MS = 4000;

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

    /** One task as its worker sees it; exit is null until it has exited. */
    public record TaskStatus(String name, String job, int task, long attempt, TaskPhase phase, ExitReason exit) {}

    /** @param reclaimNoticeS null, or seconds until the cloud takes the machine away */
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

    /** Something the worker shall do. */
    public sealed interface TaskCommand {
        /** The task's name. */
        String task();

        long attempt();
    }

    /** StartTask this attempt of the task. */
    public record StartTask(String task, long attempt) implements TaskCommand {}

    /** StopTask the attempt; with enough time for it, progress is saved first. */
    public record StopTask(String task, long attempt, double graceS) implements TaskCommand {}

    /** Drop the exited attempt from the reports. */
    public record ForgetTask(String task, long attempt) implements TaskCommand {}

    /** Reads a worker's report. */
    public static Heartbeat heartbeat(ObjectNode body) throws InvalidMessageException {
        if (body == null) {
            throw new InvalidMessageException("the body must be a JSON object");
        }
        List<TaskStatus> tasks = new ArrayList<>();
        JsonNode pieces = body.get("pieces");
        if (pieces != null && pieces.isArray()) {
            for (JsonNode piece : pieces) {
                tasks.add(task(piece));
            }
        }
        return new Heartbeat(
                Json.text(body, "box"),
                Json.absent(body, "address") ? "" : Json.text(body, "address"),
                Json.text(body, "boxKind"),
                Json.text(body, "site"),
                Json.flag(body, "borrowed"),
                Json.count(body, "shift", 0, Long.MAX_VALUE),
                Json.count(body, "tally", 0, Long.MAX_VALUE),
                Json.count(body, "mandate", 0, Long.MAX_VALUE),
                Json.absent(body, "recallS") ? null : Json.amount(body, "recallS", 0, 1e9),
                tasks);
    }

    private static TaskStatus task(JsonNode piece) throws InvalidMessageException {
        String name = Json.text(piece, "piece");
        int slash = name.lastIndexOf('/');
        int index;
        try {
            index = Integer.parseInt(name.substring(slash + 1));
        } catch (NumberFormatException e) {
            throw new InvalidMessageException("piece must have the form run-000412/3");
        }
        if (slash <= 0 || index < 0) {
            throw new InvalidMessageException("piece must have the form run-000412/3");
        }
        TaskPhase phase = switch (Json.text(piece, "status")) {
            case "fetching" -> TaskPhase.FETCHING;
            case "saving" -> TaskPhase.CHECKPOINTING;
            case "exited" -> TaskPhase.EXITED;
            // A state that later workers may add holds its resources like a running task.
            default -> TaskPhase.RUNNING;
        };
        ExitReason exit = null;
        if (phase == TaskPhase.EXITED) {
            exit = switch (Json.absent(piece, "exitCause") ? "" : Json.text(piece, "exitCause")) {
                case "done" -> ExitReason.DONE;
                case "stopped" -> ExitReason.STOPPED;
                case "full" -> ExitReason.FULL;
                case "in_use" -> ExitReason.IN_USE;
                case "unknown" -> ExitReason.UNKNOWN;
                default -> ExitReason.ERROR;
            };
        }
        return new TaskStatus(
                name, name.substring(0, slash), index, Json.count(piece, "tryNo", 0, Long.MAX_VALUE), phase, exit);
    }

    /** The body of an answer that gives a worker orders under the leader's fencing token. */
    public static ObjectNode commands(long fencingToken, List<TaskCommand> commands) {
        ObjectNode answer = Json.object().put("mandate", fencingToken);
        ArrayNode list = answer.putArray("orders");
        for (TaskCommand command : commands) {
            ObjectNode node = list.addObject();
            if (command instanceof StartTask) {
                node.put("orderKind", "run");
            } else if (command instanceof StopTask stop) {
                node.put("orderKind", "halt").put("windDownS", stop.graceS());
            } else {
                node.put("orderKind", "clear");
            }
            node.put("piece", command.task()).put("tryNo", command.attempt());
        }
        return answer;
    }

    /** The body of an answer that sends a worker to the leader; null: nobody is known to lead. */
    public static ObjectNode redirect(String leader) {
        ObjectNode answer = Json.object();
        if (leader != null) {
            answer.put("foreman", leader);
        }
        return answer;
    }
}

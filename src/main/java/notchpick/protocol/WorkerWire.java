package notchpick.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** What workers report and are told. */
public final class WorkerWire {
    /** A worker waits this long for an answer. */
    public static final long PATIENCE_MS = 4000;

    private WorkerWire() {}

    /** The state of a task on its worker. */
    public enum Phase {
        FETCHING,
        RUNNING,
        SAVING,
        EXITED
    }

    /** Why a task ended. */
    public enum Exit {
        DONE,
        STOPPED,
        ERROR,
        FULL,
        IN_USE,
        UNKNOWN
    }

    /** One task as its worker sees it; exit is null until it has exited. */
    public record TaskReport(String name, String job, int task, long attempt, Phase phase, Exit exit) {}

    /** @param noticeS null, or seconds until the cloud takes the machine away */
    public record Report(
            String machine,
            String address,
            String type,
            String zone,
            boolean spot,
            long session,
            long sequence,
            long token,
            Double noticeS,
            List<TaskReport> tasks) {}

    /** Something the worker shall do. */
    public sealed interface Order {
        /** The task's name. */
        String task();

        long attempt();
    }

    /** Start this attempt of the task. */
    public record Start(String task, long attempt) implements Order {}

    /** Stop the attempt; with enough time for it, progress is saved first. */
    public record Stop(String task, long attempt, double graceS) implements Order {}

    /** Drop the exited attempt from the reports. */
    public record Forget(String task, long attempt) implements Order {}

    /** Reads a worker's report. */
    public static Report report(ObjectNode body) throws InvalidMessage {
        if (body == null) {
            throw new InvalidMessage("the body must be a JSON object");
        }
        List<TaskReport> tasks = new ArrayList<>();
        JsonNode pieces = body.get("pieces");
        if (pieces != null && pieces.isArray()) {
            for (JsonNode piece : pieces) {
                tasks.add(task(piece));
            }
        }
        return new Report(
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

    private static TaskReport task(JsonNode piece) throws InvalidMessage {
        String name = Json.text(piece, "piece");
        int slash = name.lastIndexOf('/');
        int index;
        try {
            index = Integer.parseInt(name.substring(slash + 1));
        } catch (NumberFormatException e) {
            throw new InvalidMessage("piece must have the form run-000412/3");
        }
        if (slash <= 0 || index < 0) {
            throw new InvalidMessage("piece must have the form run-000412/3");
        }
        Phase phase = switch (Json.text(piece, "status")) {
            case "fetching" -> Phase.FETCHING;
            case "saving" -> Phase.SAVING;
            case "exited" -> Phase.EXITED;
            // A state that later workers may add holds its resources like a running task.
            default -> Phase.RUNNING;
        };
        Exit exit = null;
        if (phase == Phase.EXITED) {
            exit = switch (Json.absent(piece, "exitCause") ? "" : Json.text(piece, "exitCause")) {
                case "done" -> Exit.DONE;
                case "stopped" -> Exit.STOPPED;
                case "full" -> Exit.FULL;
                case "in_use" -> Exit.IN_USE;
                case "unknown" -> Exit.UNKNOWN;
                default -> Exit.ERROR;
            };
        }
        return new TaskReport(
                name, name.substring(0, slash), index, Json.count(piece, "tryNo", 0, Long.MAX_VALUE), phase, exit);
    }

    /** The body of an answer that gives a worker orders under the leader's fencing token. */
    public static ObjectNode orders(long token, List<Order> orders) {
        ObjectNode answer = Json.object().put("mandate", token);
        ArrayNode list = answer.putArray("orders");
        for (Order order : orders) {
            ObjectNode node = list.addObject();
            if (order instanceof Start) {
                node.put("orderKind", "run");
            } else if (order instanceof Stop stop) {
                node.put("orderKind", "halt").put("windDownS", stop.graceS());
            } else {
                node.put("orderKind", "clear");
            }
            node.put("piece", order.task()).put("tryNo", order.attempt());
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

package notchpick.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.Resources;
import notchpick.transport.HttpCaller;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;

/** The cloud's interface. Answers are null where the cloud gave none that can be used. */
public final class CloudClient {
    public static final int MAX_RENT = 50;
    public static final int MAX_RELEASE = 100;
    public static final int LIST_PAGE = 500;

    private final HttpCaller caller;
    private final String target;
    private final long timeoutMs;

    public CloudClient(HttpCaller caller, String target, long timeoutMs) {
        this.caller = caller;
        this.target = target;
        this.timeoutMs = timeoutMs;
    }

    /** What the cloud says of a machine. */
    public enum ListedState {
        STARTING,
        RUNNING,
        FAILED
    }

    /** A machine in the cloud's list, and its age as of that list. */
    public record Listed(
            String machine, String address, String type, String zone, boolean spot, ListedState state, double ageS) {}

    /** One page of the cloud's list. */
    public record Page(List<Listed> machines, boolean more) {}

    /** @param refused there is no capacity now; otherwise machines holds what was rented */
    public record Rented(boolean refused, List<String> machines) {}

    /** Asks for the machine types; gives null if there is no answer. */
    public void types(Consumer<List<MachineType>> then) {
        caller.call(new Request(target, "GET", "/machine_types", null), timeoutMs, answer -> {
            ObjectNode body = answer.status() == 200 ? Json.object(answer.body()) : null;
            then.accept(body == null ? null : types(body));
        });
    }

    /** Types as the cloud tells them; also the form in which they are kept. Null if malformed. */
    public static List<MachineType> types(JsonNode body) {
        List<MachineType> types = new ArrayList<>();
        try {
            for (JsonNode node : body.path("boxKinds")) {
                List<String> zones = Json.texts(node, "sites");
                types.add(new MachineType(
                        Json.text(node, "label"),
                        new Resources(
                                Json.amount(node, "cores", 0, 1e9),
                                Json.absent(node, "gpus") ? 0 : Json.amount(node, "gpus", 0, 1e9),
                                Json.amount(node, "ramGb", 0, 1e9)),
                        Json.amount(node, "cacheGb", 0, 1e9),
                        Json.amount(node, "pullGbPerS", 0, 1e9),
                        Json.amount(node, "price", 0, 1e9),
                        Json.amount(node, "marketPrice", 0, 1e9),
                        Json.amount(node, "readyS", 0, 1e9),
                        zones == null ? List.of() : zones));
            }
        } catch (InvalidMessageException e) {
            return null;
        }
        return types.isEmpty() ? null : List.copyOf(types);
    }

    /** The form in which machine types are kept in the state service. */
    public static ObjectNode typesJson(Collection<MachineType> types) {
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("boxKinds");
        for (MachineType type : types) {
            ObjectNode node = list.addObject()
                    .put("label", type.name())
                    .put("cores", type.size().cores())
                    .put("gpus", type.size().gpus())
                    .put("ramGb", type.size().ram())
                    .put("cacheGb", type.cacheGb())
                    .put("pullGbPerS", type.fetchGbPerS())
                    .put("price", type.price())
                    .put("marketPrice", type.spotPrice())
                    .put("readyS", type.bootS());
            ArrayNode zones = node.putArray("sites");
            type.zones().forEach(zones::add);
        }
        return body;
    }

    /** Rents machines under a request name that is never used for anything else; gives null if there is no answer. */
    public void rent(String request, String type, String zone, boolean spot, int count, Consumer<Rented> then) {
        ObjectNode body = Json.object()
                .put("hireSlip", request)
                .put("boxKind", type)
                .put("site", zone)
                .put("borrowed", spot)
                .put("number", count);
        caller.call(new Request(target, "POST", "/rentals", Json.bytes(body)), timeoutMs, answer -> {
            ObjectNode result = Json.object(answer.body());
            if (answer.status() == 200 && result != null) {
                List<String> names = new ArrayList<>();
                result.path("boxes").forEach(name -> names.add(name.asText()));
                then.accept(new Rented(false, names));
            } else if (answer.status() == 503
                    && result != null
                    && result.path("error").asText().contains("capacity")) {
                then.accept(new Rented(true, List.of()));
            } else {
                then.accept(null);
            }
        });
    }

    /** True once the machines and all that was on them are surely gone. */
    public void release(Collection<String> machines, Consumer<Boolean> then) {
        ObjectNode body = Json.object();
        ArrayNode names = body.putArray("boxes");
        machines.forEach(names::add);
        caller.call(
                new Request(target, "POST", "/rentals/release", Json.bytes(body)),
                timeoutMs,
                answer -> then.accept(answer.status() == 200));
    }

    /** Asks for one page of the list, after this name; gives null if there is no answer. */
    public void list(String after, Consumer<Page> then) {
        String path = "/rentals?limit=" + LIST_PAGE + (after == null ? "" : "&since=" + after);
        caller.call(new Request(target, "GET", path, null), timeoutMs, answer -> then.accept(page(answer)));
    }

    private static Page page(Response answer) {
        ObjectNode body = answer.status() == 200 ? Json.object(answer.body()) : null;
        if (body == null) {
            return null;
        }
        List<Listed> machines = new ArrayList<>();
        try {
            for (JsonNode node : body.path("boxes")) {
                machines.add(new Listed(
                        Json.text(node, "ref"),
                        node.path("address").asText(),
                        Json.text(node, "boxKind"),
                        Json.text(node, "site"),
                        node.path("borrowed").asBoolean(),
                        switch (node.path("status").asText()) {
                            case "failed" -> ListedState.FAILED;
                            case "running" -> ListedState.RUNNING;
                            default -> ListedState.STARTING;
                        },
                        node.path("ageS").asDouble()));
            }
        } catch (InvalidMessageException e) {
            return null;
        }
        return new Page(machines, body.path("truncated").asBoolean());
    }
}

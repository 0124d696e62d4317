package notchpick.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import notchpick.scheduling.MachineType;
import notchpick.transport.HttpCaller;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpStatus;

/** A client of the cloud. Results are empty or {@link RentResult.Unknown} if the cloud sent no usable response. */
public final class CloudClient {
    /** The maximum number of machines that one request may rent. */
    public static final int MAX_MACHINES_PER_RENT = 50;
    /** The maximum number of machines that one request may release. */
    public static final int MAX_MACHINES_PER_RELEASE = 100;

    /** The maximum number of machines in one page of the list. */
    public static final int LIST_PAGE_SIZE = 500;

    private static final String RENTALS = "/rentals";
    private static final String MACHINES = "boxes";

    private final HttpCaller caller;
    private final String target;
    private final long timeoutMs;

    public CloudClient(HttpCaller caller, String target, long timeoutMs) {
        this.caller = caller;
        this.target = target;
        this.timeoutMs = timeoutMs;
    }

    /** The state of a machine as the cloud reports it. */
    public enum MachineState {
        STARTING,
        RUNNING,
        FAILED
    }

    /** A machine in the cloud's list; its age is as of the time of the list. */
    public record ListedMachine(
            String machine, String address, String type, String zone, boolean spot, MachineState state, double ageS) {}

    /** One page of the cloud's list. */
    public record Page(List<ListedMachine> machines, boolean hasMore) {}

    /** Requests the machine types. */
    public void types(Consumer<Optional<List<MachineType>>> then) {
        caller.call(
                new Request(target, "GET", "/machine_types", null),
                timeoutMs,
                response -> then.accept(body(response).flatMap(MachineTypesCodec::decode)));
    }

    /**
     * Rents machines.
     *
     * @param request a name unique to this rental; a repeated request with the same name rents no more machines
     */
    public void rent(String request, String type, String zone, boolean spot, int count, Consumer<RentResult> then) {
        ObjectNode body = Json.object()
                .put("hireSlip", request)
                .put(WireFields.MACHINE_TYPE, type)
                .put(WireFields.ZONE, zone)
                .put(WireFields.SPOT, spot)
                .put("number", count);
        caller.call(
                new Request(target, "POST", RENTALS, Json.bytes(body)),
                timeoutMs,
                response -> then.accept(rentResult(response)));
    }

    private static RentResult rentResult(Response response) {
        ObjectNode body = Json.object(response.body());
        if (body == null) {
            return new RentResult.Unknown();
        }
        if (response.status() == HttpStatus.OK) {
            List<String> names = new ArrayList<>();
            body.path(MACHINES).forEach(name -> names.add(name.asText()));
            return new RentResult.Rented(names);
        }
        boolean lacksCapacity = body.path(WireFields.ERROR).asText().contains("capacity");
        return response.status() == HttpStatus.SERVICE_UNAVAILABLE && lacksCapacity
                ? new RentResult.NoCapacity()
                : new RentResult.Unknown();
    }

    /** Releases machines; passes true once it is certain that they and everything on them have been deleted. */
    public void release(Collection<String> machines, Consumer<Boolean> then) {
        ObjectNode body = Json.object();
        ArrayNode names = body.putArray(MACHINES);
        machines.forEach(names::add);
        caller.call(
                new Request(target, "POST", RENTALS + "/release", Json.bytes(body)),
                timeoutMs,
                response -> then.accept(response.status() == HttpStatus.OK));
    }

    /**
     * Requests one page of the list of machines.
     *
     * @param after the name of the last machine on the previous page; null for the first page
     */
    public void list(String after, Consumer<Optional<Page>> then) {
        String path = RENTALS + "?limit=" + LIST_PAGE_SIZE + (after == null ? "" : "&since=" + after);
        caller.call(
                new Request(target, "GET", path, null),
                timeoutMs,
                response -> then.accept(body(response).flatMap(CloudClient::page)));
    }

    private static Optional<ObjectNode> body(Response response) {
        return response.status() == HttpStatus.OK
                ? Optional.ofNullable(Json.object(response.body()))
                : Optional.empty();
    }

    private static Optional<Page> page(ObjectNode body) {
        List<ListedMachine> machines = new ArrayList<>();
        try {
            for (JsonNode node : body.path(MACHINES)) {
                machines.add(listedMachine(node));
            }
        } catch (InvalidMessageException e) {
            return Optional.empty();
        }
        return Optional.of(new Page(machines, body.path("truncated").asBoolean()));
    }

    private static ListedMachine listedMachine(JsonNode node) throws InvalidMessageException {
        return new ListedMachine(
                Json.text(node, WireFields.REFERENCE),
                node.path("address").asText(),
                Json.text(node, WireFields.MACHINE_TYPE),
                Json.text(node, WireFields.ZONE),
                node.path(WireFields.SPOT).asBoolean(),
                switch (node.path(WireFields.STATUS).asText()) {
                    case "failed" -> MachineState.FAILED;
                    case "running" -> MachineState.RUNNING;
                    default -> MachineState.STARTING;
                },
                node.path("ageS").asDouble());
    }
}

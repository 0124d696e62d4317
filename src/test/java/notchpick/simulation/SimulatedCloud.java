package notchpick.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import notchpick.protocol.Json;
import notchpick.protocol.MachineTypesCodec;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.NodePool;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpHandler;
import notchpick.transport.Timer;

/** A cloud that implements the published protocol, with faults that tests set. */
public final class SimulatedCloud implements HttpHandler {
    /** Called when machines have booted or are removed. */
    public interface MachineListener {
        /** The machine has booted, so its worker can start. */
        void machineStarted(RentedMachine machine);

        /** The machine was released or reclaimed, possibly before it had booted. */
        default void machineRemoved(String name) {}
    }

    /** What the cloud's list of machines contains: the actual machines, none, or every machine as failed. */
    public enum Listing {
        RIGHT,
        NOTHING,
        ALL_FAILED
    }

    private static final double MS_PER_S = 1000;
    /** The time between the boots of two machines of one rental. */
    private static final long BOOT_INTERVAL_MS = 37;

    private final LongSupplier clock;
    private final Timer timer;
    private final Map<String, MachineType> types;
    private final MachineListener listener;
    private final Map<NodePool, Integer> capacity = new HashMap<>();
    private final Map<String, RentedMachine> machines = new TreeMap<>();
    private final Set<String> booted = new HashSet<>();
    /** Answers to rentals, by request id; a repeated request gets the first answer and rents nothing. */
    private final Map<String, byte[]> rentalAnswers = new HashMap<>();

    private int rentedCount;
    private int bootedCount;
    private boolean unavailable;
    private long releaseDelayMs;
    private long rentalDelayMs;
    private int bootsToFail;
    private double bootTimeFactor = 1;
    private Listing listing = Listing.RIGHT;

    /** @param clock the current time in milliseconds */
    public SimulatedCloud(LongSupplier clock, Timer timer, Map<String, MachineType> types, MachineListener listener) {
        this.clock = clock;
        this.timer = timer;
        this.types = types;
        this.listener = listener;
    }

    /** Sets how many machines of this pool can be rented at the same time. */
    public void setCapacity(NodePool pool, int machineCount) {
        capacity.put(pool, machineCount);
    }

    /** Starts or stops failing all requests. */
    public void setUnavailable(boolean active) {
        unavailable = active;
    }

    /** Leaves the next release unanswered and carries it out after the delay. */
    public void delayNextRelease(long delayMs) {
        releaseDelayMs = delayMs;
    }

    /** Leaves the next rental unanswered and carries it out after the delay. */
    public void delayNextRental(long delayMs) {
        rentalDelayMs = delayMs;
    }

    /** Sets what the list of machines contains. */
    public void setListing(Listing newListing) {
        listing = newListing;
    }

    /** Keeps the next {@code machineCount} rented machines from ever booting. */
    public void failNextBoots(int machineCount) {
        bootsToFail = machineCount;
    }

    /** Multiplies the boot time of machines that are rented from now on. */
    public void setBootTimeFactor(double factor) {
        bootTimeFactor = factor;
    }

    /** How many machines have ever booted. */
    public int bootedCount() {
        return bootedCount;
    }

    /** How many machines have ever been rented. */
    public int rentedCount() {
        return rentedCount;
    }

    /** How many machines are rented now, booted or not. */
    public int machineCount() {
        return machines.size();
    }

    /** Removes the machine without notice; does nothing if it is not rented. */
    public void reclaim(String name) {
        if (machines.remove(name) != null) {
            listener.machineRemoved(name);
        }
    }

    @Override
    public void handle(Request call, Consumer<Response> reply) {
        if (unavailable) {
            reply.accept(error("trouble"));
            return;
        }
        switch (call.path()) {
            case "/machine_types" ->
                reply.accept(Response.of(200, Json.bytes(MachineTypesCodec.encode(types.values()))));
            case "/rentals" -> handleRental(Json.object(call.body()), reply);
            case "/rentals/release" -> handleRelease(Json.object(call.body()), reply);
            default -> reply.accept(list());
        }
    }

    private static Response error(String reason) {
        return Response.of(503, Json.bytes(Json.object().put("error", reason)));
    }

    private void handleRental(ObjectNode body, Consumer<Response> reply) {
        if (rentalDelayMs > 0) {
            timer.schedule(rentalDelayMs, () -> rent(body));
            rentalDelayMs = 0;
        } else {
            reply.accept(rent(body));
        }
    }

    private void handleRelease(ObjectNode body, Consumer<Response> reply) {
        List<String> names = new ArrayList<>();
        body.path("boxes").forEach(name -> names.add(name.asText()));
        if (releaseDelayMs > 0) {
            timer.schedule(releaseDelayMs, () -> names.forEach(this::reclaim));
            releaseDelayMs = 0;
        } else {
            names.forEach(this::reclaim);
            reply.accept(Response.of(200, Json.bytes(Json.object())));
        }
    }

    private Response rent(JsonNode body) {
        String requestId = body.path("hireSlip").asText();
        if (rentalAnswers.containsKey(requestId)) {
            return Response.of(200, rentalAnswers.get(requestId));
        }
        MachineType type = types.get(body.path("boxKind").asText());
        NodePool pool = new NodePool(
                type.name(), body.path("site").asText(), body.path("borrowed").asBoolean());
        int number = Math.min(body.path("number").asInt(), capacity.getOrDefault(pool, 0) - rentedIn(pool));
        if (number <= 0) {
            return error("no capacity");
        }
        ObjectNode answer = Json.object();
        ArrayNode names = answer.putArray("boxes");
        for (int i = 0; i < number; i++) {
            names.add(rentMachine(type, pool, i * BOOT_INTERVAL_MS));
        }
        rentalAnswers.put(requestId, Json.bytes(answer));
        return Response.of(200, rentalAnswers.get(requestId));
    }

    private int rentedIn(NodePool pool) {
        return (int) machines.values().stream()
                .filter(machine -> machine.type().name().equals(pool.type())
                        && machine.zone().equals(pool.zone())
                        && machine.spot() == pool.spot())
                .count();
    }

    private String rentMachine(MachineType type, NodePool pool, long extraBootMs) {
        String name = String.format("m-%06d", rentedCount++);
        RentedMachine machine = new RentedMachine(name, type, pool.zone(), pool.spot(), clock.getAsLong());
        machines.put(name, machine);
        if (bootsToFail > 0) {
            bootsToFail--;
        } else {
            timer.schedule((long) (type.bootS() * bootTimeFactor * MS_PER_S) + extraBootMs, () -> boot(machine));
        }
        return name;
    }

    private void boot(RentedMachine machine) {
        if (machines.containsKey(machine.name())) {
            booted.add(machine.name());
            bootedCount++;
            listener.machineStarted(machine);
        }
    }

    private Response list() {
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("boxes");
        if (listing != Listing.NOTHING) {
            machines.values().forEach(machine -> list.add(json(machine)));
        }
        return Response.of(200, Json.bytes(body.put("truncated", false)));
    }

    private ObjectNode json(RentedMachine machine) {
        return Json.object()
                .put("ref", machine.name())
                .put("address", SimulatedWorker.ADDRESS)
                .put("boxKind", machine.type().name())
                .put("site", machine.zone())
                .put("borrowed", machine.spot())
                .put("status", listedStatus(machine))
                .put("ageS", (clock.getAsLong() - machine.rentedAtMs()) / MS_PER_S);
    }

    private String listedStatus(RentedMachine machine) {
        if (listing == Listing.ALL_FAILED) {
            return "failed";
        }
        return booted.contains(machine.name()) ? "running" : "starting";
    }
}

package notchpick.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import notchpick.protocol.Json;
import notchpick.protocol.MachineTypesCodec;
import notchpick.scheduling.FleetPlanner.Pool;
import notchpick.scheduling.MachineType;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpHandler;

/** The cloud, written from its published protocol. */
public final class SimulatedCloud implements HttpHandler {
    /** A machine that somebody pays for. */
    public static final class Rented {
        public final String name;
        public final MachineType type;
        public final String zone;
        public final boolean spot;
        public final long since;
        public boolean up;

        Rented(String name, MachineType type, String zone, boolean spot, long since) {
            this.name = name;
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            this.since = since;
        }
    }

    private final LongSupplier clock;
    private final SimulatedStateStore.Timer timer;
    private final Map<String, MachineType> types;
    private final Consumer<Rented> up;
    private final Consumer<String> gone;
    private final Map<Pool, Integer> capacity = new HashMap<>();
    private final Map<String, Rented> machines = new java.util.TreeMap<>();
    private final Map<String, byte[]> answers = new HashMap<>();
    private int count;
    private int ups;
    private boolean down;
    private long releaseLateMs;
    private long rentLateMs;
    private int stuck;
    private double bootFactor = 1;
    private Listing listing = Listing.RIGHT;

    /** @param up hears of machines whose worker begins; gone, of names that are gone */
    public SimulatedCloud(
            LongSupplier clock,
            SimulatedStateStore.Timer timer,
            Map<String, MachineType> types,
            Consumer<Rented> up,
            Consumer<String> gone) {
        this.clock = clock;
        this.timer = timer;
        this.types = types;
        this.up = up;
        this.gone = gone;
    }

    public void capacity(Pool pool, int most) {
        capacity.put(pool, most);
    }

    public void down(boolean on) {
        down = on;
    }

    /** The next release gets no answer and happens this much later. */
    public void nextReleaseLate(long lateMs) {
        releaseLateMs = lateMs;
    }

    /** The next rental gets no answer and happens this much later. */
    public void nextRentalLate(long lateMs) {
        rentLateMs = lateMs;
    }

    /** Wrong lists: of nothing at all, or of every machine as failed. */
    public enum Listing {
        RIGHT,
        NOTHING,
        ALL_FAILED
    }

    public void listing(Listing how) {
        listing = how;
    }

    /** So many of the next machines never come up. */
    public void neverUp(int machinesStuck) {
        stuck = machinesStuck;
    }

    /** What is rented from now on takes so many boot times to come up. */
    public void boots(double factor) {
        bootFactor = factor;
    }

    /** How many machines ever came up. */
    public int ups() {
        return ups;
    }

    /** How many machines were ever rented. */
    public int rented() {
        return count;
    }

    public List<Rented> machines() {
        return new ArrayList<>(machines.values());
    }

    /** The cloud takes the machine away without notice. */
    public void take(String name) {
        if (machines.remove(name) != null) {
            gone.accept(name);
        }
    }

    @Override
    public void handle(Request call, Consumer<Response> reply) {
        if (down) {
            reply.accept(new Response(503, Json.bytes(Json.object().put("error", "trouble"))));
        } else if (call.path().equals("/machine_types")) {
            reply.accept(new Response(200, Json.bytes(MachineTypesCodec.encode(types.values()))));
        } else if (call.path().equals("/rentals")) {
            ObjectNode body = Json.object(call.body());
            if (rentLateMs > 0) {
                timer.after(rentLateMs, () -> rent(body));
                rentLateMs = 0;
            } else {
                reply.accept(rent(body));
            }
        } else if (call.path().equals("/rentals/release")) {
            List<String> names = new ArrayList<>();
            Json.object(call.body()).path("boxes").forEach(name -> names.add(name.asText()));
            if (releaseLateMs > 0) {
                timer.after(releaseLateMs, () -> names.forEach(this::take));
                releaseLateMs = 0;
            } else {
                names.forEach(this::take);
                reply.accept(new Response(200, Json.bytes(Json.object())));
            }
        } else {
            reply.accept(list());
        }
    }

    private Response rent(JsonNode body) {
        String request = body.path("hireSlip").asText();
        if (answers.containsKey(request)) {
            return new Response(200, answers.get(request));
        }
        MachineType type = types.get(body.path("boxKind").asText());
        Pool pool = new Pool(
                type.name(), body.path("site").asText(), body.path("borrowed").asBoolean());
        long held = machines.values().stream()
                .filter(m -> m.type == type && m.zone.equals(pool.zone()) && m.spot == pool.spot())
                .count();
        int number = (int) Math.min(body.path("number").asInt(), capacity.getOrDefault(pool, 0) - held);
        if (number <= 0) {
            return new Response(503, Json.bytes(Json.object().put("error", "no capacity")));
        }
        ObjectNode answer = Json.object();
        ArrayNode names = answer.putArray("boxes");
        for (int i = 0; i < number; i++) {
            Rented rented =
                    new Rented(String.format("m-%06d", count++), type, pool.zone(), pool.spot(), clock.getAsLong());
            machines.put(rented.name, rented);
            names.add(rented.name);
            if (stuck > 0) {
                stuck--;
                continue;
            }
            timer.after((long) (type.bootS() * bootFactor * 1000) + 37L * i, () -> {
                if (machines.containsKey(rented.name)) {
                    rented.up = true;
                    ups++;
                    up.accept(rented);
                }
            });
        }
        answers.put(request, Json.bytes(answer));
        return new Response(200, answers.get(request));
    }

    private Response list() {
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("boxes");
        for (Rented rented : listing == Listing.NOTHING ? List.<Rented>of() : machines.values()) {
            list.addObject()
                    .put("ref", rented.name)
                    .put("address", "10.1.0.1:9000")
                    .put("boxKind", rented.type.name())
                    .put("site", rented.zone)
                    .put("borrowed", rented.spot)
                    .put("status", listing == Listing.ALL_FAILED ? "failed" : rented.up ? "running" : "starting")
                    .put("ageS", (clock.getAsLong() - rented.since) / 1000.0);
        }
        return new Response(200, Json.bytes(body.put("truncated", false)));
    }
}

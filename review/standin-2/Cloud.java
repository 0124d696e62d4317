package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import review2.Http.Answer;

/** The cloud, with one type of machine. Machines that are up from the start are added by the case. */
final class Cloud {
    /** A type of machine with 8 CPUs and 16 GB. */
    record Type(String name, double price, double cheapPrice, double cacheGb, double fetchGbPerS, double readyS) {}

    private static final long LISTED_AFTER_DEATH_MS = 30_000;
    /** Machines are up within two seconds here, which the protocol's page allows. */
    private static final long BOOT_MS = 2000;

    private static final class Machine {
        Worker worker;
        String name;
        String zone;
        boolean spot;
        long rentedAtMs;
        long upAtMs;
        long goneAtMs = Long.MAX_VALUE;
        boolean deleted;
        boolean taken;
    }

    private final Worker.Fleet fleet;
    private final Worker.Observer observer;
    private final long listLagMs;
    private final Type type;
    private final Map<String, Integer> capacity = new HashMap<>();
    private final NavigableMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, ArrayNode> slips = new HashMap<>();
    private final List<String> zones;
    private int last;

    Cloud(Worker.Fleet fleet, Worker.Observer observer, List<String> zones, Type type, long listLagMs) {
        this.fleet = fleet;
        this.observer = observer;
        this.zones = zones;
        this.type = type;
        this.listLagMs = listLagMs;
    }

    void serve(int port) throws IOException {
        Http.serve(port, (method, path, query, body) -> handle(method, path, query, body));
    }

    /** How many machines of a pool may be rented at a time; 0 if nothing is said. */
    synchronized void setCapacity(String zone, boolean spot, int count) {
        capacity.put(zone + spot, count);
    }

    /** Adds a machine that is up from the start. */
    synchronized Worker addRunning(String zone, boolean spot) throws IOException {
        Machine machine = add(zone, spot, Rec.ms() - 60_000, Rec.ms() - 30_000);
        boot(machine);
        return machine.worker;
    }

    private Machine add(String zone, boolean spot, long rentedAtMs, long upAtMs) {
        Machine machine = new Machine();
        machine.name = String.format("m-%06d", ++last);
        machine.zone = zone;
        machine.spot = spot;
        machine.rentedAtMs = rentedAtMs;
        machine.upAtMs = upAtMs;
        machines.put(machine.name, machine);
        return machine;
    }

    private void boot(Machine machine) throws IOException {
        machine.worker =
                new Worker(machine.name, type.name(), machine.zone, machine.spot, fleet, observer, type.fetchGbPerS(),
                        machine.name.hashCode());
        machine.worker.start();
    }

    /** The machine stops with all that is on it, or is taken back without a notice. */
    synchronized void lose(Worker worker, boolean takenBack) {
        Machine machine = machines.get(worker.name);
        machine.goneAtMs = Rec.ms();
        machine.taken = takenBack;
        worker.die();
        Rec.log("cloud: %s %s", worker.name, takenBack ? "taken back without a notice" : "stopped with all that is on it");
    }

    synchronized List<Worker> workers() {
        List<Worker> up = new ArrayList<>();
        for (Machine machine : machines.values()) {
            if (machine.worker != null && !machine.worker.isDead()) {
                up.add(machine.worker);
            }
        }
        return up;
    }

    private synchronized Answer handle(String method, String path, Map<String, String> query, JsonNode body)
            throws IOException {
        return switch (path) {
            case "/machine_types" -> new Answer(200, types());
            case "/rentals" -> method.equals("POST") ? rent(body) : list(query);
            case "/rentals/release" -> release(body);
            default -> new Answer(400, null);
        };
    }

    private ObjectNode types() {
        ObjectNode body = Http.object();
        ObjectNode kind = body.putArray("boxKinds")
                .addObject()
                .put("label", type.name())
                .put("cores", Worker.CORES)
                .put("gpus", 0.0)
                .put("ramGb", Worker.RAM)
                .put("cacheGb", type.cacheGb())
                .put("pullGbPerS", type.fetchGbPerS())
                .put("price", type.price())
                .put("marketPrice", type.cheapPrice())
                .put("readyS", type.readyS());
        ArrayNode sites = kind.putArray("sites");
        zones.forEach(sites::add);
        return body;
    }

    private Answer rent(JsonNode body) throws IOException {
        String slip = body.path("hireSlip").asText();
        if (slips.containsKey(slip)) {
            return new Answer(200, Http.object().set("boxes", slips.get(slip)));
        }
        String zone = body.path("site").asText();
        boolean spot = body.path("borrowed").asBoolean();
        int held = 0;
        for (Machine machine : machines.values()) {
            held += machine.zone.equals(zone) && machine.spot == spot && machine.goneAtMs == Long.MAX_VALUE ? 1 : 0;
        }
        int count = Math.min(body.path("number").asInt(), capacity.getOrDefault(zone + spot, 0) - held);
        Rec.log("cloud: rent %s zone=%s spot=%s number=%d -> %s", slip, zone, spot, body.path("number").asInt(),
                count <= 0 ? "503 no capacity" : count + " machines");
        if (count <= 0) {
            return new Answer(503, Http.object().put("error", "no capacity"));
        }
        ArrayNode names = Http.JSON.createArrayNode();
        for (int i = 0; i < count; i++) {
            Machine machine = add(zone, spot, Rec.ms(), Rec.ms() + BOOT_MS);
            names.add(machine.name);
            Http.THREADS.execute(() -> bootLater(machine));
        }
        slips.put(slip, names);
        return new Answer(200, Http.object().set("boxes", names));
    }

    private void bootLater(Machine machine) {
        try {
            Thread.sleep(BOOT_MS);
            synchronized (this) {
                if (machine.goneAtMs == Long.MAX_VALUE) {
                    boot(machine);
                }
            }
        } catch (InterruptedException | IOException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Answer release(JsonNode body) {
        for (JsonNode name : body.path("boxes")) {
            Machine machine = machines.get(name.asText());
            if (machine != null && !machine.deleted) {
                Rec.log("cloud: release %s", machine.name);
                machine.deleted = true;
                if (machine.goneAtMs == Long.MAX_VALUE) {
                    machine.goneAtMs = Rec.ms();
                    if (machine.worker != null) {
                        machine.worker.die();
                    }
                }
            }
        }
        return new Answer(200, null);
    }

    private Answer list(Map<String, String> query) {
        long asOfMs = Rec.ms() - listLagMs;
        String after = query.getOrDefault("since", "");
        ObjectNode body = Http.object();
        ArrayNode boxes = body.putArray("boxes");
        for (Machine machine : machines.tailMap(after, false).values()) {
            long listedUntilMs = machine.goneAtMs == Long.MAX_VALUE || machine.deleted || machine.taken
                    ? machine.goneAtMs
                    : machine.goneAtMs + LISTED_AFTER_DEATH_MS;
            if (machine.rentedAtMs <= asOfMs && asOfMs < listedUntilMs) {
                boxes.addObject()
                        .put("ref", machine.name)
                        .put("address", machine.worker == null ? "127.0.0.1:1" : machine.worker.address())
                        .put("boxKind", type.name())
                        .put("site", machine.zone)
                        .put("borrowed", machine.spot)
                        .put("status", machine.upAtMs <= asOfMs ? "running" : "starting")
                        .put("ageS", (asOfMs - machine.rentedAtMs) / 1000.0);
            }
        }
        return new Answer(200, body.put("truncated", false));
    }
}

package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/** A stand-in for the cloud, as the protocol page describes it. */
final class Cloud {
    /** A machine type. */
    record Type(
            String name, double cores, double ram, double price, double spotPrice, double readyS, List<String> zones) {}

    private static final double FETCH_GB_PER_S = 1.0;
    /** The protocol page: at times machines are up within a second or two. */
    private static final long UP_AFTER_MS = 2000;

    private static final class Rented {
        String name;
        Type type;
        String zone;
        boolean spot;
        long rentedAtMs;
        long upAtMs;
        Worker worker;
    }

    private final List<Type> types;
    private final double listLagS;
    private final Function<Worker.Machine, Worker> workers;
    /** How many machines of a pool ("type/zone/spot" or "type/zone/ordinary") can be rented at a time. */
    private final Map<String, Integer> capacity = new HashMap<>();

    private final TreeMap<String, Rented> machines = new TreeMap<>();
    private final Map<String, ArrayNode> slips = new HashMap<>();
    private int lastMachine;

    Cloud(List<Type> types, double listLagS, Function<Worker.Machine, Worker> workers) {
        this.types = types;
        this.listLagS = listLagS;
        this.workers = workers;
    }

    synchronized void setCapacity(String pool, int count) {
        capacity.put(pool, count);
    }

    synchronized List<Worker> workers() {
        List<Worker> running = new ArrayList<>();
        machines.values().forEach(rented -> {
            if (rented.worker != null) {
                running.add(rented.worker);
            }
        });
        return running;
    }

    /** @param isCutOff whether the controller that uses this address is cut off */
    void start(String address, BooleanSupplier isCutOff) throws IOException {
        Http.serve(address, exchange -> {
            if (isCutOff.getAsBoolean()) {
                Http.sleep(60_000);
                exchange.close();
            } else {
                handle(exchange);
            }
        });
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] bytes = exchange.getRequestBody().readAllBytes();
        JsonNode body = bytes.length == 0 ? Http.object() : Http.JSON.readTree(bytes);
        String path = exchange.getRequestURI().getPath();
        Http.sleep(20);
        switch (path) {
            case "/machine_types" -> Http.answer(exchange, 200, machineTypes());
            case "/rentals" -> {
                if (exchange.getRequestMethod().equals("POST")) {
                    JsonNode answer = rent(body);
                    Http.answer(exchange, answer.has("error") ? 503 : 200, answer);
                } else {
                    Http.answer(exchange, 200, list(Http.parameter(exchange, "since")));
                }
            }
            case "/rentals/release" -> Http.answer(exchange, 200, release(body));
            default -> Http.answer(exchange, 400, Http.object());
        }
    }

    private JsonNode machineTypes() {
        ObjectNode body = Http.object();
        ArrayNode list = body.putArray("boxKinds");
        for (Type type : types) {
            ObjectNode node = list.addObject()
                    .put("label", type.name())
                    .put("cores", type.cores())
                    .put("gpus", 0)
                    .put("ramGb", type.ram())
                    .put("cacheGb", 60)
                    .put("pullGbPerS", FETCH_GB_PER_S)
                    .put("price", type.price())
                    .put("marketPrice", type.spotPrice())
                    .put("readyS", type.readyS());
            ArrayNode zones = node.putArray("sites");
            type.zones().forEach(zones::add);
        }
        return body;
    }

    private synchronized JsonNode rent(JsonNode body) {
        String slip = body.path("hireSlip").asText();
        ArrayNode known = slips.get(slip);
        if (known == null) {
            Type type = types.stream()
                    .filter(candidate -> candidate.name().equals(body.path("boxKind").asText()))
                    .findFirst()
                    .orElseThrow();
            String zone = body.path("site").asText();
            boolean spot = body.path("borrowed").asBoolean();
            String pool = type.name() + "/" + zone + "/" + (spot ? "spot" : "ordinary");
            int free = capacity.getOrDefault(pool, 0);
            int count = Math.min(body.path("number").asInt(), free);
            Record.log("cloud: %s requests %d of %s, gets %d", slip, body.path("number").asInt(), pool, count);
            if (count == 0) {
                return Http.object().put("error", "no capacity");
            }
            capacity.put(pool, free - count);
            known = Http.JSON.createArrayNode();
            for (int i = 0; i < count; i++) {
                known.add(add(type, zone, spot).name);
            }
            slips.put(slip, known);
        }
        ObjectNode answer = Http.object();
        answer.set("boxes", known);
        return answer;
    }

    private Rented add(Type type, String zone, boolean spot) {
        Rented rented = new Rented();
        rented.name = String.format("m-%06d", ++lastMachine);
        rented.type = type;
        rented.zone = zone;
        rented.spot = spot;
        rented.rentedAtMs = Record.nowMs();
        rented.upAtMs = rented.rentedAtMs + UP_AFTER_MS;
        machines.put(rented.name, rented);
        Http.THREADS.execute(() -> boot(rented));
        return rented;
    }

    private void boot(Rented rented) {
        Http.sleep(rented.upAtMs - Record.nowMs());
        Worker worker = workers.apply(new Worker.Machine(
                rented.name, rented.type.name(), rented.zone, rented.spot, rented.type.cores(), rented.type.ram(),
                FETCH_GB_PER_S));
        synchronized (this) {
            if (!machines.containsKey(rented.name)) {
                return;
            }
            rented.worker = worker;
        }
        worker.run();
    }

    private synchronized JsonNode release(JsonNode body) {
        for (JsonNode name : body.path("boxes")) {
            Rented rented = machines.remove(name.asText());
            if (rented != null) {
                String pool = rented.type.name() + "/" + rented.zone + "/" + (rented.spot ? "spot" : "ordinary");
                capacity.merge(pool, 1, Integer::sum);
                Record.log("cloud: %s released", rented.name);
                if (rented.worker != null) {
                    rented.worker.gone = true;
                }
            }
        }
        return Http.object();
    }

    private synchronized JsonNode list(String since) {
        ObjectNode body = Http.object();
        ArrayNode list = body.putArray("boxes");
        long asOfMs = Record.nowMs() - (long) (1000 * listLagS);
        for (Rented rented : machines.values()) {
            if (rented.rentedAtMs <= asOfMs && (since == null || rented.name.compareTo(since) > 0)) {
                list.addObject()
                        .put("ref", rented.name)
                        .put("address", "127.0.0.1:9")
                        .put("boxKind", rented.type.name())
                        .put("site", rented.zone)
                        .put("borrowed", rented.spot)
                        .put("status", rented.upAtMs <= asOfMs ? "running" : "starting")
                        .put("ageS", (asOfMs - rented.rentedAtMs) / 1000.0);
            }
        }
        return body.put("truncated", false);
    }
}

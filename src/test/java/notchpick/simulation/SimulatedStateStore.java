package notchpick.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import notchpick.protocol.Json;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpHandler;

/** The state service, written from its published protocol. */
public final class SimulatedStateStore implements HttpHandler {
    public static final int MAX_VALUE_BYTES = 16 << 10;
    private static final int MAX_TRANSACTION_BYTES = 64 << 10;

    private record Item(JsonNode value, long version, long lease) {}

    private record Logged(String key, JsonNode value, long version) {}

    private record Watch(String host, String prefix, long since, long from, long until, Consumer<Response> reply) {
        boolean waits() {
            return until > from;
        }
    }

    /** Runs something later; a plain timer when served over real sockets. */
    public interface Timer {
        void after(long delayMs, Runnable work);
    }

    private final LongSupplier clock;
    private final Timer timer;
    private int maxWrites;
    private int maxValueBytes = MAX_VALUE_BYTES;
    private final double requestsPerS;
    private double writesPerS;
    private double requestBudget;
    private long requestBudgetAt;
    private double writeBudget;
    private long writeBudgetAt;
    private long writes;
    private int overRate;
    private int malformed;
    private int overRequests;
    private int pageItems = 1000;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final Map<Long, Long> leaseLives = new HashMap<>();
    private final List<Logged> log = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Set<String> refused = new HashSet<>();
    /** When keys were deleted last. */
    private final Map<String, Long> deletedAt = new HashMap<>();

    private final Map<String, Runnable> listeners = new HashMap<>();
    private Transcript transcript = Transcript.NONE;
    private long revision;
    private long lastLease;
    private boolean outage;
    private int loseAnswers;
    private long applyLateMs;
    private double lateShare;
    private boolean lateAtOnce;
    private boolean watchesHang;
    private long listMs;
    /** Transactions that were carried out though nobody got an answer to them: late, or at once. */
    private int appliedUnanswered;
    /** Draws which transactions get no answer, and how late they are carried out. */
    private final Random chance = new Random(7);

    /**
     * @param requestsPerS requests that it takes in a second; bursts of one second's worth
     * @param writesPerS puts and deletes, likewise
     */
    public SimulatedStateStore(LongSupplier clock, Timer timer, int maxWrites, double requestsPerS, double writesPerS) {
        this.clock = clock;
        this.timer = timer;
        this.maxWrites = maxWrites;
        this.requestsPerS = requestsPerS;
        this.requestBudget = requestsPerS;
        this.requestBudgetAt = clock.getAsLong();
        this.writesPerS = writesPerS;
        this.writeBudget = writesPerS;
        this.writeBudgetAt = clock.getAsLong();
    }

    /** Puts and deletes so far. */
    public long writes() {
        return writes;
    }

    /** Transactions turned away for the rate of writes. */
    public int overRate() {
        return overRate;
    }

    /** Requests so far that were turned away for their rate. */
    public int overRequests() {
        return overRequests;
    }

    private boolean takesRequest() {
        long now = clock.getAsLong();
        requestBudget = Math.min(requestsPerS, requestBudget + (now - requestBudgetAt) * requestsPerS / 1000);
        requestBudgetAt = now;
        if (requestBudget < 1) {
            overRequests++;
            return false;
        }
        requestBudget--;
        return true;
    }

    private boolean withinRate(int changes) {
        long now = clock.getAsLong();
        writeBudget = Math.min(writesPerS, writeBudget + (now - writeBudgetAt) * writesPerS / 1000);
        writeBudgetAt = now;
        if (writeBudget < changes) {
            overRate++;
            return false;
        }
        writeBudget -= changes;
        return true;
    }

    /** Everybody is refused from now on, or served again with full leases. */
    public void outage(boolean on) {
        if (outage && !on) {
            leaseLives.forEach((lease, life) -> setEnd(lease, clock.getAsLong() + life));
        }
        outage = on;
        wake();
    }

    /** From now on less is taken; what is stored stays readable. */
    public void limits(int valueBytes, int transactionWrites, double ratePerS) {
        maxValueBytes = valueBytes;
        maxWrites = transactionWrites;
        writesPerS = ratePerS;
    }

    /** Transactions that were refused since they were too large. */
    public int malformed() {
        return malformed;
    }

    /** What another version left in the store. */
    public void holds(String key, JsonNode value) {
        items.put(key, new Item(value, ++revision, 0));
        log.add(new Logged(key, value, revision));
    }

    /** Cuts pages short after so many items. */
    public void pages(int items) {
        pageItems = items;
    }

    /** Answers 503 to this host alone. */
    public void refuse(String host, boolean on) {
        if (on) {
            refused.add(host);
        } else {
            refused.remove(host);
            wake();
        }
    }

    public boolean refuses(String host) {
        return refused.contains(host);
    }

    /** The next so many commits get no answer, and are applied this much later. */
    public void loseCommits(int count, long lateMs) {
        loseAnswers = count;
        applyLateMs = lateMs;
    }

    /**
     * From now on this share of the transactions gets no answer, and is carried out two to twelve seconds later,
     * after newer ones, or at once.
     */
    public void lateWrites(double share, boolean atOnce) {
        lateShare = share;
        lateAtOnce = atOnce;
    }

    /** Watches that wait for changes get no answer, as in an outage, while all else does. */
    public void watchesHang(boolean on) {
        watchesHang = on;
        wake();
    }

    /** Lists take so long. */
    public void lists(long takeMs) {
        listMs = takeMs;
    }

    /** How many transactions have been carried out of which the sender never heard. */
    public int appliedUnanswered() {
        return appliedUnanswered;
    }

    private void applyUnanswered(Request call) {
        appliedUnanswered += commit(Json.object(call.body())).status() == 200 ? 1 : 0;
    }

    /** The value of a key; null: there is none. */
    public JsonNode value(String key) {
        Item item = items.get(key);
        return item == null ? null : item.value();
    }

    @Override
    public void handle(Request call, Consumer<Response> reply) {
        String path = call.path().split("\\?", 2)[0];
        if (!outage && !takesRequest()) {
            reply.accept(new Response(429, new byte[0]));
            return;
        }
        if (outage || refused.contains(call.target())) {
            // Watches that are open already wait; no new one is taken.
            reply.accept(new Response(503, new byte[0]));
            return;
        }
        if (path.equals("/changes")) {
            changes(call, reply);
            return;
        }
        if (path.equals("/commit") && loseAnswers > 0) {
            loseAnswers--;
            timer.after(applyLateMs, () -> applyUnanswered(call));
            return;
        }
        if (path.equals("/commit") && chance.nextDouble() < lateShare) {
            timer.after(lateAtOnce ? 0 : 2000 + chance.nextInt(10_000), () -> applyUnanswered(call));
            return;
        }
        if (path.equals("/keys") && listMs > 0) {
            Response answer = answer(call, path);
            timer.after(listMs, () -> reply.accept(answer));
            return;
        }
        reply.accept(answer(call, path));
    }

    private static Response ok(JsonNode body) {
        return new Response(200, Json.bytes(body));
    }

    private Response missing() {
        return new Response(404, Json.bytes(Json.object().put("ledgerNo", revision)));
    }

    private Response answer(Request call, String path) {
        if (path.equals("/commit")) {
            return commit(Json.object(call.body()));
        }
        if (path.equals("/keys")) {
            return list(query(call));
        }
        if (path.startsWith("/keys/")) {
            Item item = items.get(path.substring(6));
            return item == null ? missing() : ok(json(path.substring(6), item));
        }
        if (path.equals("/holds")) {
            long life = Json.object(call.body()).path("lifeMs").asLong();
            long lease = ++lastLease;
            leaseLives.put(lease, life);
            setEnd(lease, clock.getAsLong() + life);
            return ok(Json.object().put("permit", lease));
        }
        long lease = Long.parseLong(path.split("/")[2]);
        if (!leaseEnds.containsKey(lease)) {
            return missing();
        }
        if (call.method().equals("DELETE")) {
            endLease(lease);
        } else {
            setEnd(lease, clock.getAsLong() + leaseLives.get(lease));
        }
        return ok(Json.object());
    }

    private void setEnd(long lease, long end) {
        leaseEnds.put(lease, end);
        timer.after(end - clock.getAsLong() + 1, () -> {
            Long current = leaseEnds.get(lease);
            if (current != null && current <= clock.getAsLong() && !outage) {
                endLease(lease);
            }
        });
    }

    private void endLease(long lease) {
        leaseEnds.remove(lease);
        leaseLives.remove(lease);
        List<String> keys = items.entrySet().stream()
                .filter(entry -> entry.getValue().lease() == lease)
                .map(Map.Entry::getKey)
                .toList();
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::delete);
            wake();
        }
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            log.add(new Logged(key, null, revision));
            deletedAt.put(key, clock.getAsLong());
        }
    }

    /** From now on all transactions are written down. */
    void record(Transcript to) {
        transcript = to;
    }

    /** The listener hears each time the key is written. */
    public void whenPut(String key, Runnable listener) {
        listeners.put(key, listener);
    }

    /** When the key was deleted last; negative: never. */
    public long deletedAt(String key) {
        return deletedAt.getOrDefault(key, -1L);
    }

    private static ObjectNode json(String key, Item item) {
        ObjectNode node = Json.object().put("k", key).put("entryNo", item.version());
        if (item.lease() != 0) {
            node.put("permit", item.lease());
        }
        node.set("v", item.value());
        return node;
    }

    private Response list(Map<String, String> query) {
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("items");
        String prefix = query.getOrDefault("prefix", "");
        int limit = Math.min(pageItems, Integer.parseInt(query.getOrDefault("limit", "1000")));
        String after = query.getOrDefault("since", "");
        boolean more = false;
        for (Map.Entry<String, Item> entry : items.tailMap(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getKey().compareTo(after) > 0) {
                if (list.size() == limit) {
                    more = true;
                    break;
                }
                list.add(json(entry.getKey(), entry.getValue()));
            }
        }
        return ok(body.put("truncated", more).put("ledgerNo", revision));
    }

    private Response commit(ObjectNode body) {
        if (outage) {
            return new Response(503, new byte[0]);
        }
        ObjectNode conflict = Json.object();
        ArrayNode failed = conflict.putArray("failed");
        for (JsonNode guard : body.path("guards")) {
            Item item = items.get(guard.path("k").asText());
            if (guard.path("entryNo").asLong() != (item == null ? 0 : item.version())) {
                failed.add(guard.path("k").asText());
            }
        }
        JsonNode writes = body.path("writes");
        if (writes.size() > maxWrites || body.path("guards").size() > 4 * maxWrites || tooLarge(writes)) {
            malformed++;
            return new Response(400, new byte[0]);
        }
        if (!withinRate(writes.size())) {
            return new Response(429, new byte[0]);
        }
        for (JsonNode write : writes) {
            if (write.has("permit")
                    && !leaseEnds.containsKey(write.path("permit").asLong())) {
                return new Response(400, Json.bytes(Json.object().put("error", "no such lease")));
            }
        }
        if (!failed.isEmpty()) {
            return new Response(409, Json.bytes(conflict.put("ledgerNo", revision)));
        }
        revision++;
        this.writes += writes.size();
        for (JsonNode write : writes) {
            if (write.has("put")) {
                String key = write.path("put").asText();
                items.put(
                        key,
                        new Item(write.get("v"), revision, write.path("permit").asLong()));
                log.add(new Logged(key, write.get("v"), revision));
                listeners.getOrDefault(key, () -> {}).run();
            } else {
                delete(write.path("delete").asText());
            }
        }
        transcript.committed(clock.getAsLong(), revision, writes.toString());
        wake();
        return ok(Json.object().put("ledgerNo", revision));
    }

    private boolean tooLarge(JsonNode writes) {
        for (JsonNode write : writes) {
            if (write.has("v") && Json.bytes(write.get("v")).length > maxValueBytes) {
                return true;
            }
        }
        return Json.bytes(writes).length > MAX_TRANSACTION_BYTES;
    }

    private void changes(Request call, Consumer<Response> reply) {
        Map<String, String> query = query(call);
        long until = clock.getAsLong() + Long.parseLong(query.getOrDefault("holdMs", "0"));
        Watch watch = new Watch(
                call.target(),
                query.getOrDefault("prefix", ""),
                Long.parseLong(query.get("since")),
                clock.getAsLong(),
                until,
                reply);
        watches.add(watch);
        timer.after(until - clock.getAsLong() + 1, this::wake);
        wake();
    }

    private void wake() {
        if (outage) {
            return;
        }
        for (Watch watch : List.copyOf(watches)) {
            if (refused.contains(watch.host()) || watchesHang && watch.waits()) {
                // Whoever is refused alone has its open watches wait as in an outage.
                continue;
            }
            ObjectNode body = Json.object().put("ledgerNo", revision);
            ArrayNode list = body.putArray("log");
            for (Logged logged : log) {
                if (logged.version() > watch.since() && logged.key().startsWith(watch.prefix())) {
                    ObjectNode node = list.addObject().put("entryNo", logged.version());
                    if (logged.value() == null) {
                        node.put("delete", logged.key());
                    } else {
                        node.put("put", logged.key()).set("v", logged.value());
                    }
                }
            }
            if (!list.isEmpty() || clock.getAsLong() >= watch.until()) {
                watches.remove(watch);
                watch.reply().accept(ok(body));
            }
        }
    }

    private static Map<String, String> query(Request call) {
        Map<String, String> query = new HashMap<>();
        String[] parts = call.path().split("\\?", 2);
        if (parts.length == 2) {
            for (String part : parts[1].split("&")) {
                String[] pair = part.split("=", 2);
                query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
            }
        }
        return query;
    }
}

package notchpick.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import notchpick.protocol.Json;
import notchpick.simulation.StateStoreData.Entry;
import notchpick.simulation.StateStoreWatches.Watch;
import notchpick.storage.StateKeys;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpHandler;
import notchpick.transport.Timer;

/** An in-memory state store that implements the published protocol, with limits and faults that tests set. */
public final class SimulatedStateStore implements HttpHandler {
    public static final int MAX_VALUE_BYTES = 16 << 10;
    private static final int MAX_TRANSACTION_BYTES = 64 << 10;
    private static final int MAX_GUARDS_PER_WRITE = 4;
    private static final String KEYS_PATH = "/keys/";

    private static final Response BAD_REQUEST = Response.empty(400);
    private static final Response OVER_RATE = Response.empty(429);
    private static final Response UNAVAILABLE = Response.empty(503);

    private final LongSupplier clock;
    private final Timer timer;
    private final TokenBucket requestRate;
    private final TokenBucket writeRate;
    private final StateStoreFaults faults = new StateStoreFaults();
    private final StateStoreData data;
    private final StateStoreLeases leases;
    private final StateStoreWatches watches;
    private final StateStoreAnswerDelays answerDelays;
    private final ResignedTerms resignedTerms = new ResignedTerms();
    private Transcript transcript = Transcript.NONE;
    private int maxTransactionWrites;
    private int maxValueBytes = MAX_VALUE_BYTES;
    private int maxListItems = 1000;
    private long writes;
    private int transactionsOverRate;
    private int requestsOverRate;
    private int transactionsTooLarge;
    private int appliedWithoutAnswer;

    /**
     * @param clock the current time in milliseconds
     * @param maxTransactionWrites the most puts and deletes in one transaction
     * @param requestsPerS requests accepted per second; a burst may be as large as one second's quota
     * @param writesPerS puts and deletes accepted per second, with the same burst
     */
    public SimulatedStateStore(
            LongSupplier clock, Timer timer, int maxTransactionWrites, double requestsPerS, double writesPerS) {
        this.clock = clock;
        this.timer = timer;
        this.maxTransactionWrites = maxTransactionWrites;
        this.requestRate = new TokenBucket(clock, requestsPerS);
        this.writeRate = new TokenBucket(clock, writesPerS);
        this.data = new StateStoreData(clock);
        this.leases = new StateStoreLeases(clock, timer, faults, this::deleteKeysOfLease);
        this.watches = new StateStoreWatches(clock, timer, data, faults);
        this.answerDelays = new StateStoreAnswerDelays(timer);
    }

    /** Writes all later transactions to the transcript. */
    void record(Transcript to) {
        transcript = to;
    }

    /** The value of a key; null if there is none. */
    public JsonNode value(String key) {
        Entry entry = data.get(key);
        return entry == null ? null : entry.value();
    }

    /** When the key was last deleted; negative if never. */
    public long deletedAtMs(String key) {
        return data.deletedAtMs(key);
    }

    /** Runs the listener each time the key is written; replaces the key's earlier listener. */
    public void setPutListener(String key, Runnable listener) {
        data.setPutListener(key, listener);
    }

    /** Stores a value in its own revision, bypassing limits and counters, as if an earlier version had written it. */
    public void preload(String key, JsonNode value) {
        data.nextRevision();
        data.put(key, value, 0);
    }

    /** Puts and deletes so far. */
    public long writes() {
        return writes;
    }

    /** Transactions rejected because of the write rate limit. */
    public int transactionsOverRate() {
        return transactionsOverRate;
    }

    /** Requests rejected because of the request rate limit. */
    public int requestsOverRate() {
        return requestsOverRate;
    }

    /** Transactions rejected as too large. */
    public int transactionsTooLarge() {
        return transactionsTooLarge;
    }

    /** Transactions that were applied although their sender got no answer. */
    public int appliedWithoutAnswer() {
        return appliedWithoutAnswer;
    }

    /** Replaces the limits; stored values stay readable even if they exceed the new ones. */
    public void setLimits(StateStoreLimits limits) {
        maxValueBytes = limits.valueBytes();
        maxTransactionWrites = limits.transactionWrites();
        writeRate.setRate(limits.writesPerS());
    }

    /** Sets after how many items a list is truncated. */
    public void setMaxListItems(int items) {
        maxListItems = items;
    }

    /** Starts or ends an outage, in which all requests are refused; its end renews all leases in full. */
    public void setOutage(boolean active) {
        if (faults.isOutage() && !active) {
            leases.renewAll();
        }
        faults.setOutage(active);
        watches.answerDue();
    }

    /** Starts or stops refusing the requests of one host. */
    public void setRefused(String host, boolean refused) {
        faults.setRefused(host, refused);
        if (!refused) {
            watches.answerDue();
        }
    }

    public boolean isRefused(String host) {
        return faults.isRefused(host);
    }

    /** Leaves the next {@code count} transactions unanswered and applies them after the delay. */
    public void leaveCommitsUnanswered(int count, long delayMs) {
        faults.leaveCommitsUnanswered(count, delayMs);
    }

    /**
     * Sets the share of transactions that get no answer. They are applied immediately, or two to twelve seconds later
     * and thus possibly after newer ones.
     */
    public void setUnansweredCommits(double share, boolean appliedImmediately) {
        faults.setUnansweredShare(share, appliedImmediately);
    }

    /** Starts or stops leaving watches that wait for changes unanswered; all other requests are answered. */
    public void setWatchesHanging(boolean active) {
        faults.setWatchesHanging(active);
        watches.answerDue();
    }

    /** Sets how long a list request takes to be answered. */
    public void setListDelay(long delayMs) {
        faults.setListDelay(delayMs);
    }

    /** The delays of single answers. */
    StateStoreAnswerDelays answerDelays() {
        return answerDelays;
    }

    /** The terms whose leaders have ended their leases. */
    ResignedTerms resignedTerms() {
        return resignedTerms;
    }

    /** Runs the action once, right after the next transaction that writes a key with this prefix. */
    void runAfterNextWrite(String prefix, Runnable action) {
        data.runAfterNextWrite(prefix, () -> timer.schedule(0, action));
    }

    @Override
    public void handle(Request call, Consumer<Response> reply) {
        execute(call, answerDelays.delaying(call, reply));
    }

    private void execute(Request call, Consumer<Response> reply) {
        if (!faults.isOutage() && !requestRate.tryTake(1)) {
            requestsOverRate++;
            reply.accept(OVER_RATE);
            return;
        }
        if (faults.isOutage() || faults.isRefused(call.target())) {
            // Watches that are already open keep waiting; no new one is accepted.
            reply.accept(UNAVAILABLE);
            return;
        }
        String path = call.path().split("\\?", 2)[0];
        switch (path) {
            case "/changes" -> watches.open(newWatch(call, reply));
            case "/commit" -> handleCommit(call, reply);
            case "/keys" -> handleList(call, reply);
            default -> reply.accept(path.startsWith(KEYS_PATH) ? read(path) : handleLease(call, path));
        }
    }

    private Watch newWatch(Request call, Consumer<Response> reply) {
        Map<String, String> query = QueryParameters.of(call);
        long nowMs = clock.getAsLong();
        return new Watch(
                call.target(),
                query.getOrDefault("prefix", ""),
                Long.parseLong(query.get("since")),
                nowMs,
                nowMs + Long.parseLong(query.getOrDefault("holdMs", "0")),
                reply);
    }

    private void handleCommit(Request call, Consumer<Response> reply) {
        OptionalLong unansweredDelayMs = faults.nextUnansweredCommitDelayMs();
        if (unansweredDelayMs.isPresent()) {
            timer.schedule(unansweredDelayMs.getAsLong(), () -> applyWithoutAnswer(call));
        } else {
            reply.accept(commit(Json.object(call.body())));
        }
    }

    private void applyWithoutAnswer(Request call) {
        appliedWithoutAnswer += commit(Json.object(call.body())).status() == 200 ? 1 : 0;
    }

    private void handleList(Request call, Consumer<Response> reply) {
        Response answer = list(QueryParameters.of(call));
        if (faults.listDelayMs() > 0) {
            timer.schedule(faults.listDelayMs(), () -> reply.accept(answer));
        } else {
            reply.accept(answer);
        }
    }

    private Response read(String path) {
        String key = path.substring(KEYS_PATH.length());
        Entry entry = data.get(key);
        return entry == null ? notFound() : ok(json(key, entry));
    }

    private Response handleLease(Request call, String path) {
        if (path.equals("/holds")) {
            long lease = leases.grant(Json.object(call.body()).path("lifeMs").asLong());
            return ok(Json.object().put("permit", lease));
        }
        long lease = Long.parseLong(path.split("/", -1)[2]);
        if (!leases.exists(lease)) {
            return notFound();
        }
        if (call.method().equals("DELETE")) {
            resignedTerms.recordLeaseEnd(lease, data.get(StateKeys.LEADER), clock.getAsLong());
            leases.end(lease);
        } else {
            leases.renew(lease);
        }
        return ok(Json.object());
    }

    private void deleteKeysOfLease(long lease) {
        var keys = data.keysOfLease(lease);
        if (!keys.isEmpty()) {
            data.nextRevision();
            keys.forEach(data::delete);
            watches.answerDue();
        }
    }

    private Response list(Map<String, String> query) {
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("items");
        String prefix = query.getOrDefault("prefix", "");
        int limit = Math.min(maxListItems, Integer.parseInt(query.getOrDefault("limit", "1000")));
        String after = query.getOrDefault("since", "");
        boolean truncated = false;
        for (Map.Entry<String, Entry> entry : data.entriesFrom(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getKey().compareTo(after) > 0) {
                if (list.size() == limit) {
                    truncated = true;
                    break;
                }
                list.add(json(entry.getKey(), entry.getValue()));
            }
        }
        return ok(body.put("truncated", truncated).put("ledgerNo", data.revision()));
    }

    private Response commit(ObjectNode body) {
        if (faults.isOutage()) {
            return UNAVAILABLE;
        }
        JsonNode changes = body.path("writes");
        if (isTooLarge(body)) {
            transactionsTooLarge++;
            return BAD_REQUEST;
        }
        if (!writeRate.tryTake(changes.size())) {
            transactionsOverRate++;
            return OVER_RATE;
        }
        for (JsonNode write : changes) {
            if (write.has("permit") && !leases.exists(write.path("permit").asLong())) {
                return Response.of(400, Json.bytes(Json.object().put("error", "no such lease")));
            }
        }
        ObjectNode conflict = Json.object();
        if (!addFailedGuards(body.path("guards"), conflict.putArray("failed")).isEmpty()) {
            return Response.of(409, Json.bytes(conflict.put("ledgerNo", data.revision())));
        }
        apply(changes);
        return ok(Json.object().put("ledgerNo", data.revision()));
    }

    private ArrayNode addFailedGuards(JsonNode guards, ArrayNode failed) {
        for (JsonNode guard : guards) {
            String key = guard.path("k").asText();
            if (guard.path("entryNo").asLong() != data.versionOf(key)) {
                failed.add(key);
            }
        }
        return failed;
    }

    private boolean isTooLarge(JsonNode transaction) {
        JsonNode changes = transaction.path("writes");
        if (changes.size() > maxTransactionWrites
                || transaction.path("guards").size() > MAX_GUARDS_PER_WRITE * maxTransactionWrites) {
            return true;
        }
        for (JsonNode write : changes) {
            if (write.has("v") && Json.bytes(write.get("v")).length > maxValueBytes) {
                return true;
            }
        }
        return Json.bytes(changes).length > MAX_TRANSACTION_BYTES;
    }

    private void apply(JsonNode changes) {
        data.nextRevision();
        writes += changes.size();
        for (JsonNode write : changes) {
            if (write.has("put")) {
                String key = write.path("put").asText();
                data.put(key, write.get("v"), write.path("permit").asLong());
            } else {
                data.delete(write.path("delete").asText());
            }
        }
        transcript.committed(clock.getAsLong(), data.revision(), changes.toString());
        watches.answerDue();
    }

    private static Response ok(JsonNode body) {
        return Response.of(200, Json.bytes(body));
    }

    private Response notFound() {
        return Response.of(404, Json.bytes(Json.object().put("ledgerNo", data.revision())));
    }

    private static ObjectNode json(String key, Entry entry) {
        ObjectNode node = Json.object().put("k", key).put("entryNo", entry.version());
        if (entry.lease() != 0) {
            node.put("permit", entry.lease());
        }
        node.set("v", entry.value());
        return node;
    }
}

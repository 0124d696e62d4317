package notchpick.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;

/** The state service's interface, kept within this controller's part of the request budget. */
public final class StateStoreClient {
    public static final int LIST_PAGE = 1000;
    /** One lost packet must not make a controller pass for cut off. */
    private static final int FAILURES_TO_DOUBT = 3;
    /** This part of a second's requests is kept for what can't wait. */
    private static final double RESERVED = 0.3;

    private static final String HOLDS = "/holds";

    private final StateStoreTransport way;
    private final EventLoop loop;
    private final String target;
    private final long timeoutMs;
    private final double requestsPerMs;
    private final double burst;
    private double budget;
    private long budgetAt;
    private boolean answered;
    private int failures;

    /** @param requestsPerS this controller's part of what all may send */
    public StateStoreClient(
            StateStoreTransport way, EventLoop loop, String target, long timeoutMs, double requestsPerS) {
        this.way = way;
        this.loop = loop;
        this.target = target;
        this.timeoutMs = timeoutMs;
        this.requestsPerMs = requestsPerS / 1000;
        this.burst = requestsPerS;
        this.budget = burst;
        this.budgetAt = loop.nowMs();
    }

    /** What became of a request. */
    public sealed interface Result<T> {}

    /** The request was carried out, with this result. */
    public record Ok<T>(T value) implements Result<T> {}

    /** The key or lease does not exist. */
    public record Missing<T>() implements Result<T> {}

    /** Conditions failed; nothing was written. */
    public record Conflict<T>(List<String> keys) implements Result<T> {}

    /** Certainly not executed. */
    public record Refused<T>(int status) implements Result<T> {}

    /** No answer: it may have been executed, or may be later. */
    public record Lost<T>() implements Result<T> {}

    /** A key, its value, the revision of its last change, and the lease that it is attached to (0: none). */
    public record Entry(String key, JsonNode value, long version, long lease) {}

    /** Part of the keys with a prefix, as of a revision. */
    public record Listing(List<Entry> entries, boolean more, long revision) {}

    /** @param value null if the key was deleted */
    public record Change(String key, JsonNode value, long version) {}

    /** What has changed below a prefix, up to a revision. */
    public record Changes(List<Change> log, long revision) {}

    /** A transaction in the making. */
    public static final class Transaction {
        private final Map<String, Long> guards = new LinkedHashMap<>();
        private final ArrayNode writes = Json.object().putArray("writes");

        /** The key must have this version; 0: must not exist. */
        public Transaction guard(String key, long version) {
            guards.put(key, version);
            return this;
        }

        /** Writes a key. */
        public Transaction put(String key, JsonNode value) {
            writes.addObject().put("put", key).set("v", value);
            return this;
        }

        /** Writes a key that is deleted when the lease ends. */
        public Transaction put(String key, JsonNode value, long lease) {
            ObjectNode write = writes.addObject().put("put", key).put("permit", lease);
            write.set("v", value);
            return this;
        }

        /** Deletes a key. */
        public Transaction delete(String key) {
            writes.addObject().put("delete", key);
            return this;
        }

        private byte[] body() {
            ObjectNode body = Json.object();
            ArrayNode list = body.putArray("guards");
            guards.forEach((key, version) -> list.addObject().put("k", key).put("entryNo", version));
            body.set("writes", writes);
            return Json.bytes(body);
        }
    }

    /** Whether the service answers, as far as this controller can tell. */
    public boolean reachable() {
        return answered && failures < FAILURES_TO_DOUBT;
    }

    /** Whether there is room for what can wait: submissions and the leader's writes must find some. */
    public boolean hasSpare() {
        refill();
        return budget >= burst * RESERVED;
    }

    private void refill() {
        long now = loop.nowMs();
        budget = Math.min(burst, budget + (now - budgetAt) * requestsPerMs);
        budgetAt = now;
    }

    public void get(String key, Consumer<Result<Entry>> then) {
        get(key, false, then);
    }

    /** Reads a key of which the newest must be known soon, by whatever way there is. */
    public void getHastily(String key, Consumer<Result<Entry>> then) {
        get(key, true, then);
    }

    private void get(String key, boolean hasty, Consumer<Result<Entry>> then) {
        send(
                "GET",
                "/keys/" + key,
                null,
                timeoutMs,
                false,
                hasty,
                answer -> then.accept(read(answer, body -> entry(body))));
    }

    /** Reads one page of the keys with a prefix, after a key if one is given. */
    public void list(String prefix, String after, int limit, Consumer<Result<Listing>> then) {
        String path = "/keys?prefix=" + prefix + "&limit=" + limit + (after == null ? "" : "&since=" + after);
        send(
                "GET",
                path,
                null,
                timeoutMs,
                false,
                answer -> then.accept(read(answer, body -> {
                    List<Entry> entries = new ArrayList<>();
                    body.path("items").forEach(item -> entries.add(entry(item)));
                    return new Listing(
                            entries,
                            body.path("truncated").asBoolean(),
                            body.path("ledgerNo").asLong());
                })));
    }

    /** Every page of a prefix; its revision is that of the first page. */
    public void listAll(String prefix, Consumer<Result<Listing>> then) {
        listAll(prefix, null, new ArrayList<>(), -1, then);
    }

    private void listAll(
            String prefix, String after, List<Entry> sofar, long revision, Consumer<Result<Listing>> then) {
        list(prefix, after, LIST_PAGE, result -> {
            if (!(result instanceof Ok<Listing> ok)) {
                then.accept(result);
                return;
            }
            sofar.addAll(ok.value().entries());
            long first = revision < 0 ? ok.value().revision() : revision;
            if (ok.value().more() && !ok.value().entries().isEmpty()) {
                listAll(prefix, sofar.get(sofar.size() - 1).key(), sofar, first, then);
            } else {
                then.accept(new Ok<>(new Listing(sofar, false, first)));
            }
        });
    }

    /** Gives the revision of the changes made. */
    public void commit(Transaction transaction, Consumer<Result<Long>> then) {
        send("POST", "/commit", transaction.body(), timeoutMs, false, answer -> {
            if (answer.status() == 409) {
                ObjectNode body = Json.object(answer.body());
                List<String> keys = new ArrayList<>();
                if (body != null) {
                    body.path("failed").forEach(key -> keys.add(key.asText()));
                }
                then.accept(new Conflict<>(keys));
            } else {
                then.accept(read(answer, body -> body.path("ledgerNo").asLong()));
            }
        });
    }

    /** Requests a lease of this length. */
    public void grantLease(long lifeMs, Consumer<Result<Long>> then) {
        byte[] body = Json.bytes(Json.object().put("lifeMs", lifeMs));
        send(
                "POST",
                HOLDS,
                body,
                timeoutMs,
                true,
                answer -> then.accept(read(answer, node -> node.path("permit").asLong())));
    }

    /** Renews a lease; {@link Missing} stands for one that has ended. */
    public void renewLease(long lease, Consumer<Result<Boolean>> then) {
        send("POST", HOLDS + "/" + lease + "/touch", Json.bytes(Json.object()), timeoutMs, true, true, answer -> {
            if (answer.status() / 100 == 2) {
                then.accept(new Ok<>(true));
            } else {
                then.accept(read(answer, body -> true));
            }
        });
    }

    /** Ends a lease at once, with the keys attached to it. */
    public void endLease(long lease, Consumer<Boolean> then) {
        send(
                "DELETE",
                HOLDS + "/" + lease,
                null,
                timeoutMs,
                true,
                answer -> then.accept(answer.status() / 100 == 2 || answer.status() == 404));
    }

    /** Waits for changes; {@link Missing} stands for a revision that is too old. */
    public void changes(String prefix, long since, long waitMs, Consumer<Result<Changes>> then) {
        String path = "/changes?prefix=" + prefix + "&since=" + since + "&holdMs=" + waitMs;
        send("GET", path, null, waitMs + timeoutMs, false, answer -> {
            if (answer.status() == 410) {
                then.accept(new Missing<>());
                return;
            }
            then.accept(read(answer, body -> {
                List<Change> log = new ArrayList<>();
                for (JsonNode item : body.path("log")) {
                    boolean put = item.has("put");
                    log.add(new Change(
                            item.path(put ? "put" : "delete").asText(),
                            put ? item.get("v") : null,
                            item.path("entryNo").asLong()));
                }
                return new Changes(log, body.path("ledgerNo").asLong());
            }));
        });
    }

    private interface Reader<T> {
        T read(ObjectNode body);
    }

    private static <T> Result<T> read(Response answer, Reader<T> reader) {
        switch (answer.status()) {
            case 200, 201 -> {
                ObjectNode body = Json.object(answer.body());
                return body == null ? new Lost<>() : new Ok<>(reader.read(body));
            }
            case 404 -> {
                return new Missing<>();
            }
            case 400, 429, 503 -> {
                return new Refused<>(answer.status());
            }
            default -> {
                return new Lost<>();
            }
        }
    }

    private static Entry entry(JsonNode node) {
        return new Entry(
                node.path("k").asText(),
                node.path("v"),
                node.path("entryNo").asLong(),
                node.path("permit").asLong());
    }

    /**
     * Carries out what a controller asks for that can't reach the state service itself; it counts against this
     * one's part of the requests.
     */
    public void pass(String method, String path, byte[] body, long timeout, Consumer<Response> then) {
        if (takes(path.startsWith(HOLDS))) {
            way.sendHere(new Request(target, method, path, body), timeout, then);
        } else {
            then.accept(new Response(429, new byte[0]));
        }
    }

    /** Whether a request is within this controller's part. Leases must not lapse because of anything else asked. */
    private boolean takes(boolean urgent) {
        refill();
        if (budget < 1 && !urgent) {
            return false;
        }
        budget = Math.max(0, budget - 1);
        return true;
    }

    private void send(String method, String path, byte[] body, long timeout, boolean urgent, Consumer<Response> then) {
        send(method, path, body, timeout, urgent, false, then);
    }

    private void send(
            String method,
            String path,
            byte[] body,
            long timeout,
            boolean urgent,
            boolean hasty,
            Consumer<Response> then) {
        if (!takes(urgent)) {
            then.accept(new Response(429, new byte[0]));
            return;
        }
        way.send(new Request(target, method, path, body), timeout, hasty, answer -> {
            if (answer.isNone() || answer.status() == 503) {
                failures++;
            } else {
                answered = true;
                failures = 0;
            }
            then.accept(answer);
        });
    }
}

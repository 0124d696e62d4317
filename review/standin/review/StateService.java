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

/**
 * A stand-in for the state service, as the protocol page describes it. Each controller has an address of its own, so
 * that a test can tell the controllers apart.
 */
final class StateService {
    /** Test hooks, which see each request of a controller. */
    interface Hook {
        /** Whether the controller is cut off: its requests don't arrive, and answers to it are lost. */
        default boolean isCutOff(int controller) {
            return false;
        }

        /** Called after a transaction was applied and before it is answered. */
        default void committed(int controller, JsonNode transaction) {}

        /** How long the answer to an executed request is held back, in milliseconds. */
        default long holdAnswerMs(int controller, String method, String path, JsonNode body) {
            return 0;
        }
    }

    private record Entry(JsonNode value, long version, long lease) {}

    private record Change(long revision, String key, JsonNode value) {}

    private static final class Lease {
        long ttlMs;
        long endsAtMs;
    }

    /** A bucket that allows bursts of one second's worth. */
    private static final class Bucket {
        private final double perS;
        private double tokens;
        private long atMs;

        Bucket(double perS) {
            this.perS = perS;
            this.tokens = perS;
        }

        boolean take(double count) {
            long nowMs = Record.nowMs();
            tokens = Math.min(perS, tokens + (nowMs - atMs) / 1000.0 * perS);
            atMs = nowMs;
            if (tokens < count) {
                return false;
            }
            tokens -= count;
            return true;
        }
    }

    private static final int MAX_LOG = 10_000;
    private static final int MAX_PAGE_BYTES = 512 << 10;
    private static final int MAX_TRANSACTION_BYTES = 64 << 10;

    private final Settings settings;
    private final Bucket requests;
    private final Bucket writes;
    private final TreeMap<String, Entry> keys = new TreeMap<>();
    private final List<Change> log = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long logFromRevision;
    private long revision;
    private long lastLease;
    volatile Hook hook = new Hook() {};

    /** The limits of the state service. */
    record Settings(double rps, double writeRps, double valueKb, int txnOps, long latencyMs) {}

    StateService(Settings settings) {
        this.settings = settings;
        this.requests = new Bucket(settings.rps());
        this.writes = new Bucket(settings.writeRps());
    }

    void start(List<String> addresses) throws IOException {
        for (int i = 0; i < addresses.size(); i++) {
            int controller = i;
            Http.serve(addresses.get(i), exchange -> handle(controller, exchange));
        }
        Http.THREADS.execute(() -> {
            while (true) {
                endLeases();
                Http.sleep(20);
            }
        });
    }

    /** The value of a key; null if it does not exist. */
    synchronized JsonNode value(String key) {
        Entry entry = keys.get(key);
        return entry == null ? null : entry.value();
    }

    private void handle(int controller, HttpExchange exchange) throws IOException {
        try {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            JsonNode body = bytes.length == 0 ? Http.object() : Http.JSON.readTree(bytes);
            String method = exchange.getRequestMethod();
            String path = exchange.getRequestURI().getPath();
            Http.sleep(settings.latencyMs());
            int status;
            JsonNode answer;
            boolean admitted;
            synchronized (this) {
                admitted = requests.take(1);
            }
            if (hook.isCutOff(controller)) {
                staySilent(exchange);
                return;
            }
            if (!admitted) {
                status = 429;
                answer = Http.object();
            } else {
                Result result = execute(controller, method, path, body, bytes.length, exchange);
                status = result.status;
                answer = result.body;
            }
            Http.sleep(hook.holdAnswerMs(controller, method, exchange.getRequestURI().toString(), body));
            if (hook.isCutOff(controller)) {
                staySilent(exchange);
                return;
            }
            Http.answer(exchange, status, answer);
        } catch (IOException e) {
            exchange.close();
        }
    }

    private static void staySilent(HttpExchange exchange) {
        Http.sleep(60_000);
        exchange.close();
    }

    private record Result(int status, JsonNode body) {}

    private Result execute(
            int controller, String method, String path, JsonNode body, int bytes, HttpExchange exchange) {
        if (method.equals("GET") && path.startsWith("/keys/")) {
            return read(path.substring("/keys/".length()));
        } else if (method.equals("GET") && path.equals("/keys")) {
            return list(exchange);
        } else if (method.equals("POST") && path.equals("/commit")) {
            Result result = commit(body, bytes);
            if (result.status == 200) {
                hook.committed(controller, body);
            }
            return result;
        } else if (method.equals("GET") && path.equals("/changes")) {
            return changes(exchange);
        } else if (method.equals("POST") && path.equals("/holds")) {
            return grant(body);
        } else if (method.equals("POST") && path.endsWith("/touch")) {
            return touch(Long.parseLong(path.split("/")[2]));
        } else if (method.equals("DELETE") && path.startsWith("/holds/")) {
            return end(Long.parseLong(path.split("/")[2]));
        }
        return new Result(400, Http.object());
    }

    private synchronized Result read(String key) {
        Entry entry = keys.get(key);
        if (entry == null) {
            return new Result(404, Http.object().put("ledgerNo", revision));
        }
        return new Result(200, item(key, entry));
    }

    private static ObjectNode item(String key, Entry entry) {
        ObjectNode item = Http.object().put("k", key);
        item.set("v", entry.value());
        item.put("entryNo", entry.version());
        if (entry.lease() != 0) {
            item.put("permit", entry.lease());
        }
        return item;
    }

    private synchronized Result list(HttpExchange exchange) {
        String prefix = Http.parameter(exchange, "prefix");
        String since = Http.parameter(exchange, "since");
        int limit = Math.min(1000, Integer.parseInt(Http.parameter(exchange, "limit")));
        ObjectNode body = Http.object();
        ArrayNode items = body.putArray("items");
        boolean truncated = false;
        int bytes = 0;
        for (Map.Entry<String, Entry> entry : keys.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (since != null && entry.getKey().compareTo(since) <= 0) {
                continue;
            }
            ObjectNode item = item(entry.getKey(), entry.getValue());
            bytes += Http.bytes(item).length;
            if (items.size() == limit || bytes > MAX_PAGE_BYTES) {
                truncated = true;
                break;
            }
            items.add(item);
        }
        body.put("truncated", truncated).put("ledgerNo", revision);
        return new Result(200, body);
    }

    private synchronized Result commit(JsonNode body, int bytes) {
        JsonNode changes = body.path("writes");
        JsonNode guards = body.path("guards");
        if (changes.size() > settings.txnOps()
                || guards.size() > 4 * settings.txnOps()
                || bytes > MAX_TRANSACTION_BYTES) {
            return new Result(400, Http.object().put("error", "too large"));
        }
        for (JsonNode change : changes) {
            if (change.has("put") && Http.bytes(change.path("v")).length > settings.valueKb() * 1024) {
                return new Result(400, Http.object().put("error", "value too large"));
            }
            if (change.has("permit") && !leases.containsKey(change.path("permit").asLong())) {
                return new Result(400, Http.object().put("error", "no such lease"));
            }
        }
        if (!writes.take(changes.size())) {
            return new Result(429, Http.object());
        }
        ObjectNode conflict = Http.object();
        ArrayNode failed = conflict.putArray("failed");
        for (JsonNode guard : guards) {
            Entry entry = keys.get(guard.path("k").asText());
            if ((entry == null ? 0 : entry.version()) != guard.path("entryNo").asLong()) {
                failed.add(guard.path("k").asText());
            }
        }
        if (!failed.isEmpty()) {
            return new Result(409, conflict.put("ledgerNo", revision));
        }
        if (!changes.isEmpty()) {
            revision++;
            for (JsonNode change : changes) {
                if (change.has("put")) {
                    String key = change.path("put").asText();
                    JsonNode value = change.path("v").deepCopy();
                    keys.put(key, new Entry(value, revision, change.path("permit").asLong()));
                    log.add(new Change(revision, key, value));
                } else if (keys.remove(change.path("delete").asText()) != null) {
                    log.add(new Change(revision, change.path("delete").asText(), null));
                }
            }
            trimLog();
            notifyAll();
        }
        return new Result(200, Http.object().put("ledgerNo", revision));
    }

    private void trimLog() {
        while (log.size() > MAX_LOG) {
            logFromRevision = log.remove(0).revision();
        }
    }

    private synchronized Result changes(HttpExchange exchange) {
        String prefix = Http.parameter(exchange, "prefix");
        long since = Long.parseLong(Http.parameter(exchange, "since"));
        String hold = Http.parameter(exchange, "holdMs");
        long untilMs = Record.nowMs() + (hold == null ? 0 : Long.parseLong(hold));
        while (true) {
            if (since < logFromRevision) {
                return new Result(410, Http.object());
            }
            ObjectNode body = Http.object();
            ArrayNode list = body.putArray("log");
            for (Change change : log) {
                if (change.revision() > since && change.key().startsWith(prefix)) {
                    ObjectNode node = list.addObject();
                    if (change.value() != null) {
                        node.put("put", change.key()).set("v", change.value());
                    } else {
                        node.put("delete", change.key());
                    }
                    node.put("entryNo", change.revision());
                }
            }
            long leftMs = untilMs - Record.nowMs();
            if (!list.isEmpty() || leftMs <= 0) {
                return new Result(200, body.put("ledgerNo", revision));
            }
            try {
                wait(leftMs);
            } catch (InterruptedException e) {
                return new Result(503, Http.object());
            }
        }
    }

    private synchronized Result grant(JsonNode body) {
        Lease lease = new Lease();
        lease.ttlMs = body.path("lifeMs").asLong();
        lease.endsAtMs = Record.nowMs() + lease.ttlMs;
        leases.put(++lastLease, lease);
        return new Result(200, Http.object().put("permit", lastLease));
    }

    private synchronized Result touch(long id) {
        Lease lease = leases.get(id);
        if (lease == null) {
            return new Result(404, Http.object());
        }
        lease.endsAtMs = Record.nowMs() + lease.ttlMs;
        return new Result(200, Http.object().put("permit", id));
    }

    private synchronized Result end(long id) {
        if (leases.remove(id) == null) {
            return new Result(404, Http.object());
        }
        deleteKeysOf(id);
        return new Result(200, Http.object());
    }

    /** A lease ends at most 100 ms late, never early. */
    private synchronized void endLeases() {
        long nowMs = Record.nowMs();
        List<Long> ended = new ArrayList<>();
        leases.forEach((id, lease) -> {
            if (nowMs > lease.endsAtMs) {
                ended.add(id);
            }
        });
        for (long id : ended) {
            leases.remove(id);
            deleteKeysOf(id);
        }
    }

    private void deleteKeysOf(long lease) {
        List<String> attached = new ArrayList<>();
        keys.forEach((key, entry) -> {
            if (entry.lease() == lease) {
                attached.add(key);
            }
        });
        if (!attached.isEmpty()) {
            revision++;
            for (String key : attached) {
                keys.remove(key);
                log.add(new Change(revision, key, null));
            }
            notifyAll();
        }
    }
}

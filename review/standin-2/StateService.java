package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import review2.Http.Answer;

/** The state service, with one address for each controller so that a single one can be cut off. */
final class StateService {
    private static final int KEPT_CHANGES = 10_000;
    private static final int MAX_BYTES = 512 << 10;

    private record Entry(JsonNode value, long version, long lease) {}

    private record Change(String key, JsonNode value, long version) {}

    private static final class Lease {
        long ttlMs;
        long untilMs;
    }

    private static final class Bucket {
        private final double perS;
        private double tokens;
        private long atMs = Rec.ms();

        Bucket(double perS) {
            this.perS = perS;
            this.tokens = perS;
        }

        boolean take(double count) {
            long now = Rec.ms();
            tokens = Math.min(perS, tokens + (now - atMs) * perS / 1000);
            atMs = now;
            if (tokens < count) {
                return false;
            }
            tokens -= count;
            return true;
        }
    }

    private final NavigableMap<String, Entry> keys = new TreeMap<>();
    private final Deque<Change> log = new ArrayDeque<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Set<String> cut = ConcurrentHashMap.newKeySet();
    private final Bucket requests;
    private final Bucket writes;
    private final int valueBytes;
    private final int txnOps;
    private long ledger = 1;
    private long lastLease;
    private long droppedUpTo;

    StateService(double rps, double writeRps, int valueKb, int txnOps) {
        this.requests = new Bucket(rps);
        this.writes = new Bucket(writeRps);
        this.valueBytes = valueKb << 10;
        this.txnOps = txnOps;
        Thread expiry = new Thread(this::expireLeases, "leases");
        expiry.setDaemon(true);
        expiry.start();
    }

    void serve(String node, int port) throws IOException {
        Http.serve(port, (method, path, query, body) -> handle(node, method, path, query, body));
    }

    /** Cuts a node off or ends the cut: its requests are held, and carried out late when the cut ends, unanswered. */
    synchronized void setCut(String node, boolean value) {
        if (value) {
            cut.add(node);
        } else {
            cut.remove(node);
        }
        notifyAll();
    }

    /** The node named by the leader key; null if there is none. */
    synchronized String leader() {
        Entry entry = keys.get("leader");
        return entry == null ? null : entry.value().path("node").asText();
    }

    /** Whether a recorded launch names a task of the job. */
    synchronized boolean hasLaunchOf(String id) {
        for (Map.Entry<String, Entry> entry : keys.tailMap("start/", true).entrySet()) {
            if (entry.getKey().startsWith("start/") && entry.getValue().value().path("jobs").has(id)) {
                return true;
            }
        }
        return false;
    }

    private void expireLeases() {
        try {
            while (true) {
                Thread.sleep(10);
                synchronized (this) {
                    List<Long> ended = new ArrayList<>();
                    leases.forEach((id, lease) -> {
                        if (Rec.ms() > lease.untilMs) {
                            ended.add(id);
                        }
                    });
                    ended.forEach(this::endLease);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> attached = new ArrayList<>();
        keys.forEach((key, entry) -> {
            if (entry.lease() == id) {
                attached.add(key);
            }
        });
        if (!attached.isEmpty()) {
            ledger++;
            attached.forEach(key -> change(key, null, 0));
            notifyAll();
        }
    }

    private void change(String key, JsonNode value, long lease) {
        if (value == null) {
            keys.remove(key);
        } else {
            keys.put(key, new Entry(value, ledger, lease));
        }
        log.add(new Change(key, value, ledger));
        while (log.size() > KEPT_CHANGES) {
            droppedUpTo = log.poll().version();
        }
    }

    private Answer handle(String node, String method, String path, Map<String, String> query, JsonNode body)
            throws InterruptedException {
        synchronized (this) {
            boolean wasCut = cut.contains(node);
            while (cut.contains(node)) {
                wait(1000);
            }
            if (wasCut) {
                if (path.equals("/commit")) {
                    commit(body);
                } else if (path.startsWith("/holds")) {
                    lease(method, path, body);
                }
                return new Answer(0, null);
            }
            if (!requests.take(1)) {
                return new Answer(429, null);
            }
            if (path.equals("/commit")) {
                return commit(body);
            }
            if (path.equals("/keys")) {
                return list(query);
            }
            if (path.startsWith("/keys/")) {
                return get(path.substring("/keys/".length()));
            }
            if (path.startsWith("/holds")) {
                return lease(method, path, body);
            }
            if (path.equals("/changes")) {
                return watch(node, query);
            }
            return new Answer(400, null);
        }
    }

    private Answer get(String key) {
        Entry entry = keys.get(key);
        return entry == null
                ? new Answer(404, Http.object().put("ledgerNo", ledger))
                : new Answer(200, item(key, entry));
    }

    private static ObjectNode item(String key, Entry entry) {
        ObjectNode node = Http.object().put("k", key).put("entryNo", entry.version());
        if (entry.lease() != 0) {
            node.put("permit", entry.lease());
        }
        node.set("v", entry.value());
        return node;
    }

    private Answer list(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("since", "");
        int limit = Math.min(1000, Integer.parseInt(query.getOrDefault("limit", "1000")));
        ObjectNode body = Http.object();
        ArrayNode items = body.putArray("items");
        boolean truncated = false;
        int bytes = 0;
        for (Map.Entry<String, Entry> entry : keys.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getKey().compareTo(after) > 0) {
                int size = entry.getValue().value().toString().length() + entry.getKey().length() + 40;
                if (items.size() == limit || bytes + size > MAX_BYTES) {
                    truncated = true;
                    break;
                }
                bytes += size;
                items.add(item(entry.getKey(), entry.getValue()));
            }
        }
        return new Answer(200, body.put("truncated", truncated).put("ledgerNo", ledger));
    }

    private Answer lease(String method, String path, JsonNode body) {
        String[] parts = path.split("/");
        if (parts.length == 2) {
            Lease lease = new Lease();
            lease.ttlMs = body.path("lifeMs").asLong();
            lease.untilMs = Rec.ms() + lease.ttlMs;
            leases.put(++lastLease, lease);
            return new Answer(200, Http.object().put("permit", lastLease));
        }
        long id = Long.parseLong(parts[2]);
        Lease lease = leases.get(id);
        if (lease == null) {
            return new Answer(404, null);
        }
        if (method.equals("DELETE")) {
            endLease(id);
        } else {
            lease.untilMs = Rec.ms() + lease.ttlMs;
        }
        return new Answer(200, null);
    }

    private Answer commit(JsonNode body) {
        JsonNode puts = body.path("writes");
        JsonNode guards = body.path("guards");
        boolean tooLarge = puts.size() > txnOps || guards.size() > 4 * txnOps || body.toString().length() > 64 << 10;
        for (JsonNode put : puts) {
            tooLarge |= put.has("v") && put.get("v").toString().length() > valueBytes;
        }
        if (tooLarge) {
            return new Answer(400, Http.object().put("error", "too large"));
        }
        if (!writes.take(puts.size())) {
            return new Answer(429, null);
        }
        for (JsonNode put : puts) {
            if (put.has("permit") && !leases.containsKey(put.path("permit").asLong())) {
                return new Answer(400, Http.object().put("error", "no such lease"));
            }
        }
        ObjectNode conflict = Http.object();
        ArrayNode failed = conflict.putArray("failed");
        for (JsonNode guard : guards) {
            Entry entry = keys.get(guard.path("k").asText());
            if (guard.path("entryNo").asLong() != (entry == null ? 0 : entry.version())) {
                failed.add(guard.path("k").asText());
            }
        }
        if (!failed.isEmpty()) {
            return new Answer(409, conflict.put("ledgerNo", ledger));
        }
        if (puts.size() > 0) {
            ledger++;
            for (JsonNode put : puts) {
                if (put.has("put")) {
                    change(put.path("put").asText(), put.get("v"), put.path("permit").asLong());
                } else {
                    String key = put.path("delete").asText();
                    if (keys.containsKey(key)) {
                        change(key, null, 0);
                    }
                }
            }
            notifyAll();
        }
        return new Answer(200, Http.object().put("ledgerNo", ledger));
    }

    private Answer watch(String node, Map<String, String> query) throws InterruptedException {
        String prefix = query.getOrDefault("prefix", "");
        long since = Long.parseLong(query.getOrDefault("since", "0"));
        long untilMs = Rec.ms() + Long.parseLong(query.getOrDefault("holdMs", "0"));
        while (true) {
            if (!cut.contains(node)) {
                if (since < droppedUpTo) {
                    return new Answer(410, null);
                }
                ObjectNode body = Http.object().put("ledgerNo", ledger);
                ArrayNode changes = body.putArray("log");
                for (Change change : log) {
                    if (change.version() > since && change.key().startsWith(prefix)) {
                        ObjectNode item = changes.addObject().put("entryNo", change.version());
                        if (change.value() == null) {
                            item.put("delete", change.key());
                        } else {
                            item.put("put", change.key()).set("v", change.value());
                        }
                    }
                }
                if (!changes.isEmpty() || Rec.ms() >= untilMs) {
                    return new Answer(200, body);
                }
            }
            wait(Math.max(1, Math.min(1000, untilMs - Rec.ms())));
        }
    }
}

package notchpick.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import notchpick.protocol.StateStoreClient;
import notchpick.protocol.StateStoreClient.Conflict;
import notchpick.protocol.StateStoreClient.Entry;
import notchpick.protocol.StateStoreClient.Missing;
import notchpick.protocol.StateStoreClient.Ok;
import notchpick.protocol.StateStoreClient.Refused;
import notchpick.protocol.StateStoreClient.Result;
import notchpick.protocol.StateStoreClient.Transaction;
import notchpick.transport.EventLoop;
import notchpick.transport.Timer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's writes. Every transaction is guarded on the leadership key, and every key in it on
 * the version last known, so that a transaction that got no answer can't undo a later one when it is
 * applied after all. One transaction is on its way at a time; changes gather meanwhile.
 */
public final class FencedWriter {
    private static final Logger LOG = LoggerFactory.getLogger(FencedWriter.class);
    private static final long RETRY_MS = 200;
    /** What was refused for good alone is tried again only now and then. */
    private static final long REFUSED_MS = 10_000;

    private static final int MALFORMED = 400;
    /** The state service takes so many times as many conditions as changes in a transaction. */
    private static final int CONDITIONS_PER_WRITE = 4;
    /** A transaction may hold 64 KiB in all; keys and conditions take some of it. */
    private static final int MAX_BYTES = 58 << 10;

    private final StateStoreClient state;
    private final EventLoop loop;
    private final Timer timer;
    private final long leaderVersion;
    private final int maxWrites;
    private final double writesPerMs;
    private final Runnable deposed;
    private final Map<String, Long> versions = new HashMap<>();
    private final Map<String, Change> waiting = new LinkedHashMap<>();
    /** Changes of a batch that was refused for good: each goes alone, until the one at fault is found. */
    private final Set<String> suspects = new HashSet<>();

    private boolean busy;
    private double budget;
    private long budgetAt;

    /**
     * Keys that a change does not write, and the versions that they must have for it to be made.
     *
     * @param outdated hears which of them have another version by now, before the change is tried again
     */
    public record Conditions(Map<String, Long> versions, Consumer<List<String>> outdated) {
        /** A change that depends on nothing but what it writes. */
        public static final Conditions NONE = new Conditions(Map.of(), keys -> {});

        private List<String> among(List<String> stale) {
            return stale.stream().filter(versions::containsKey).toList();
        }
    }

    /**
     * What a change comes to when its turn has come.
     *
     * @param overtaken hears that a key which must have a certain version has another
     * @param refused hears that the state service will never take this, before it is tried again
     */
    public record Prepared(
            List<Write> writes, Conditions conditions, Runnable durable, Runnable overtaken, Runnable refused) {
        public Prepared(List<Write> writes, Runnable durable, Runnable overtaken) {
            this(writes, Conditions.NONE, durable, overtaken, () -> {});
        }
    }

    /**
     * A change of one key.
     *
     * @param value null deletes the key
     * @param version what the key must have; null: as last known here
     * @param bytes as much as the value takes at the most
     */
    public record Write(String key, JsonNode value, Long version, boolean guarded, int bytes) {
        private static final int SMALL_BYTES = 1 << 10;

        public static Write put(String key, JsonNode value) {
            return new Write(key, value, null, true, SMALL_BYTES);
        }

        public static Write delete(String key) {
            return new Write(key, null, null, false, 0);
        }

        public Write at(long expected) {
            return new Write(key, value, expected, true, bytes);
        }

        public Write unguarded() {
            return new Write(key, value, null, false, bytes);
        }

        public Write bytes(int most) {
            return new Write(key, value, version, guarded, most);
        }
    }

    /** Made when it is sent, so that it holds the newest. Null: there is nothing to write any more. */
    public interface Change {
        Prepared prepare();
    }

    /** @param timer runs something in the owner's turn after some milliseconds */
    public FencedWriter(
            StateStoreClient state,
            EventLoop loop,
            Timer timer,
            long leaderVersion,
            int maxWrites,
            double writesPerS,
            Runnable deposed) {
        this.state = state;
        this.loop = loop;
        this.timer = timer;
        this.leaderVersion = leaderVersion;
        this.maxWrites = maxWrites;
        this.writesPerMs = writesPerS / 1000;
        this.deposed = deposed;
        this.budgetAt = loop.nowMs();
        this.budget = maxWrites;
    }

    /** Notes the version of a key that has been read. */
    public void known(String key, long version) {
        versions.put(key, version);
    }

    /** Writes this as soon as may be; a later change of the same name takes an unsent one's place. */
    public void write(String name, Change change) {
        waiting.put(name, change);
        if (!busy) {
            busy = true;
            // Whatever else the current message brings shall go along.
            timer.after(0, this::flush);
        }
    }

    private record Sent(String name, Change change, Prepared prepared) {}

    private void flush() {
        long now = loop.nowMs();
        budget = Math.min(2.0 * maxWrites, budget + (now - budgetAt) * writesPerMs);
        budgetAt = now;
        if (waiting.isEmpty()) {
            busy = false;
            return;
        }
        if (budget < 1) {
            timer.after((long) Math.ceil((1 - budget) / writesPerMs), this::flush);
            return;
        }
        Transaction transaction = new Transaction().guard(Records.LEADER, leaderVersion);
        List<Sent> batch = new ArrayList<>();
        int writes = 0;
        int bytes = 0;
        Iterator<Map.Entry<String, Change>> items = waiting.entrySet().iterator();
        while (items.hasNext()) {
            Map.Entry<String, Change> item = items.next();
            Prepared prepared = item.getValue().prepare();
            if (prepared == null) {
                suspects.remove(item.getKey());
                items.remove();
                continue;
            }
            int more = prepared.writes().stream().mapToInt(Write::bytes).sum();
            boolean suspect = suspects.contains(item.getKey());
            if (writes > 0 && (suspect || writes + prepared.writes().size() > maxWrites || bytes + more > MAX_BYTES)) {
                break;
            }
            items.remove();
            writes += prepared.writes().size();
            bytes += more;
            batch.add(new Sent(item.getKey(), item.getValue(), prepared));
            for (Write write : prepared.writes()) {
                if (write.guarded()) {
                    transaction.guard(write.key(), expected(write));
                }
                if (write.value() == null) {
                    transaction.delete(write.key());
                } else {
                    transaction.put(write.key(), write.value());
                }
            }
            if (suspect) {
                break;
            }
        }
        if (batch.isEmpty()) {
            busy = false;
            return;
        }
        addConditions(transaction, batch, CONDITIONS_PER_WRITE * maxWrites - 1 - writes);
        budget -= writes;
        state.commit(transaction, inTurn(result -> committed(batch, result)));
    }

    /** As many as a transaction may have. */
    private static void addConditions(Transaction transaction, List<Sent> batch, int most) {
        batch.stream()
                .flatMap(sent -> sent.prepared().conditions().versions().entrySet().stream())
                .limit(most)
                .forEach(condition -> transaction.guard(condition.getKey(), condition.getValue()));
    }

    private <T> Consumer<T> inTurn(Consumer<T> then) {
        return value -> timer.after(0, () -> then.accept(value));
    }

    private long expected(Write write) {
        return write.version() != null ? write.version() : versions.getOrDefault(write.key(), 0L);
    }

    private void committed(List<Sent> batch, Result<Long> result) {
        if (result instanceof Ok<Long> ok) {
            for (Sent sent : batch) {
                for (Write write : sent.prepared().writes()) {
                    if (write.value() == null) {
                        versions.remove(write.key());
                    } else {
                        versions.put(write.key(), ok.value());
                    }
                }
            }
            batch.forEach(sent -> {
                suspects.remove(sent.name());
                sent.prepared().durable().run();
            });
            flush();
            return;
        }
        if (result instanceof Refused<Long> refused && refused.status() == MALFORMED) {
            refused(batch);
            return;
        }
        List<String> stale = result instanceof Conflict<Long> conflict ? conflict.keys() : List.of();
        if (stale.contains(Records.LEADER)) {
            deposed.run();
            return;
        }
        List<String> reread = new ArrayList<>();
        for (Sent sent : batch) {
            List<String> outdated = sent.prepared().conditions().among(stale);
            if (!outdated.isEmpty()) {
                sent.prepared().conditions().outdated().accept(outdated);
            }
            boolean overtaken = false;
            for (Write write : sent.prepared().writes()) {
                if (stale.contains(write.key())) {
                    if (write.version() != null) {
                        overtaken = true;
                    } else {
                        reread.add(write.key());
                    }
                }
            }
            if (overtaken) {
                sent.prepared().overtaken().run();
            } else {
                waiting.putIfAbsent(sent.name(), sent.change());
            }
        }
        if (result instanceof Conflict<Long>) {
            reread(reread, 0);
        } else {
            timer.after(RETRY_MS, this::flush);
        }
    }

    /**
     * A value or a transaction that the state service does not take would be refused again and again, and all else
     * with it: each change goes alone then, and the one at fault waits.
     */
    private void refused(List<Sent> batch) {
        if (batch.size() == 1) {
            Sent sent = batch.get(0);
            suspects.remove(sent.name());
            List<String> keys =
                    sent.prepared().writes().stream().map(Write::key).toList();
            LOG.error("the state service will not take the write of {}; the others go on", keys);
            sent.prepared().refused().run();
            timer.after(REFUSED_MS, () -> {
                if (!waiting.containsKey(sent.name())) {
                    write(sent.name(), sent.change());
                }
            });
        } else {
            for (Sent sent : batch) {
                suspects.add(sent.name());
                waiting.putIfAbsent(sent.name(), sent.change());
            }
        }
        timer.after(RETRY_MS, this::flush);
    }

    private void reread(List<String> keys, int index) {
        if (index == keys.size()) {
            flush();
            return;
        }
        String key = keys.get(index);
        state.get(key, inTurn(result -> {
            if (result instanceof Ok<Entry> ok) {
                versions.put(key, ok.value().version());
            } else if (result instanceof Missing<Entry>) {
                versions.remove(key);
            } else {
                timer.after(RETRY_MS, () -> reread(keys, index));
                return;
            }
            reread(keys, index + 1);
        }));
    }
}

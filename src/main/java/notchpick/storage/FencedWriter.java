package notchpick.storage;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import notchpick.protocol.StateStoreClient;
import notchpick.protocol.StateStoreClient.Entry;
import notchpick.protocol.StateStoreResult;
import notchpick.protocol.StateStoreResult.Conflict;
import notchpick.protocol.StateStoreResult.Missing;
import notchpick.protocol.StateStoreResult.Ok;
import notchpick.protocol.StateStoreResult.Refused;
import notchpick.storage.KeyWrite.Precondition;
import notchpick.storage.WriteBatch.Member;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpStatus;
import notchpick.transport.Timer;
import notchpick.transport.TokenBucket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the leader's changes to the state store. Every transaction is conditional on the version of the leader key, so
 * that a former leader can't write anything. Unless a write asks for no condition, the transaction also depends on the
 * version of each key that it writes, so that a transaction whose reply was lost can't undo a later one if the state
 * store executes it late. One transaction is in flight at a time; changes submitted meanwhile share the next one.
 */
public final class FencedWriter {
    /** Is notified when this controller has lost the leadership and may not write any more. */
    @FunctionalInterface
    public interface LeadershipListener {
        /** The leader key has changed: another term has begun, or this one has ended. The writer sends nothing more. */
        void leadershipLost();
    }

    private static final Logger LOG = LoggerFactory.getLogger(FencedWriter.class);
    private static final long RETRY_MS = 200;
    private static final long REJECTED_RETRY_MS = 10_000;

    private final StateStoreClient state;
    private final Timer timer;
    private final long leaderVersion;
    private final int maxWrites;
    private final LeadershipListener listener;
    private final TokenBucket writeBudget;
    private final KeyVersions versions = new KeyVersions();
    private final Map<String, PendingChange> pending = new LinkedHashMap<>();
    /** Names of changes from a rejected batch; each is sent alone until the invalid one is found. */
    private final Set<String> isolated = new HashSet<>();

    private boolean busy;

    /**
     * @param timer runs tasks on the owner's event loop
     * @param leaderVersion the version of the leader key when the term began
     * @param maxWrites the maximum number of keys that one transaction may write
     */
    public FencedWriter(
            StateStoreClient state,
            EventLoop loop,
            Timer timer,
            long leaderVersion,
            int maxWrites,
            double writesPerS,
            LeadershipListener listener) {
        this.state = state;
        this.timer = timer;
        this.leaderVersion = leaderVersion;
        this.maxWrites = maxWrites;
        this.listener = listener;
        this.writeBudget = new TokenBucket(loop, writesPerS, 2.0 * maxWrites, maxWrites);
    }

    /** Records the version of a key that has been read, as the expected version of its next write. */
    public void recordVersion(String key, long version) {
        versions.setLatest(key, version);
    }

    /** Adds a change to the next transaction; it replaces a pending change of the same name. */
    public void write(String name, PendingChange change) {
        pending.put(name, change);
        if (!busy) {
            busy = true;
            // Deferred, so that all changes made by the current message share one transaction.
            timer.schedule(0, this::flush);
        }
    }

    private void flush() {
        double available = writeBudget.available();
        if (pending.isEmpty()) {
            busy = false;
            return;
        }
        if (available < 1) {
            timer.schedule(writeBudget.msUntil(1), this::flush);
            return;
        }
        WriteBatch batch = nextBatch();
        if (batch.members().isEmpty()) {
            busy = false;
            return;
        }
        writeBudget.take(batch.writeCount());
        state.commit(batch.transaction(leaderVersion, versions), onEventLoop(result -> handleResult(batch, result)));
    }

    /** Takes pending changes in the order of submission until the next one does not fit. */
    private WriteBatch nextBatch() {
        WriteBatch batch = new WriteBatch(maxWrites);
        Iterator<Map.Entry<String, PendingChange>> changes = pending.entrySet().iterator();
        while (changes.hasNext()) {
            Map.Entry<String, PendingChange> change = changes.next();
            String name = change.getKey();
            Optional<PreparedChange> prepared = change.getValue().prepare();
            if (prepared.isEmpty()) {
                isolated.remove(name);
                changes.remove();
                continue;
            }
            boolean isIsolated = isolated.contains(name);
            if (batch.writeCount() > 0 && (isIsolated || !batch.hasRoomFor(prepared.get()))) {
                break;
            }
            changes.remove();
            batch.add(new Member(name, change.getValue(), prepared.get()));
            if (isIsolated) {
                break;
            }
        }
        return batch;
    }

    private <T> Consumer<T> onEventLoop(Consumer<T> then) {
        return value -> timer.schedule(0, () -> then.accept(value));
    }

    private void handleResult(WriteBatch batch, StateStoreResult<Long> result) {
        if (result instanceof Ok<Long> ok) {
            handleCommit(batch, ok.value());
        } else if (result instanceof Conflict<Long> conflict) {
            handleConflict(batch, conflict.keys());
        } else if (result instanceof Refused<Long> refused && refused.status() == HttpStatus.BAD_REQUEST) {
            handleRejection(batch);
        } else {
            batch.members().forEach(this::requeue);
            timer.schedule(RETRY_MS, this::flush);
        }
    }

    private void handleCommit(WriteBatch batch, long version) {
        for (Member member : batch.members()) {
            member.prepared().writes().forEach(write -> versions.setCommitted(write, version));
        }
        for (Member member : batch.members()) {
            isolated.remove(member.name());
            member.prepared().listener().committed();
        }
        flush();
    }

    /** Handles a transaction that wrote nothing because these keys did not have the expected versions. */
    private void handleConflict(WriteBatch batch, List<String> conflictingKeys) {
        if (conflictingKeys.contains(StateKeys.LEADER)) {
            listener.leadershipLost();
            return;
        }
        Deque<String> outdated = new ArrayDeque<>();
        for (Member member : batch.members()) {
            PreparedChange change = member.prepared();
            change.preconditions().reportConflicts(conflictingKeys);
            boolean isAbandoned = false;
            for (KeyWrite write : change.writes()) {
                if (conflictingKeys.contains(write.key())) {
                    if (write.precondition() == Precondition.VERSION) {
                        isAbandoned = true;
                    } else {
                        outdated.add(write.key());
                    }
                }
            }
            if (isAbandoned) {
                change.listener().conflicted();
            } else {
                requeue(member);
            }
        }
        reread(outdated);
    }

    private void requeue(Member member) {
        pending.putIfAbsent(member.name(), member.change());
    }

    /**
     * Handles a transaction that the state store rejected as invalid. Retried unchanged, it would be rejected each time
     * and block all other changes. Therefore each change of the batch is sent alone until the invalid one is found,
     * which is then retried every {@link #REJECTED_RETRY_MS}.
     */
    private void handleRejection(WriteBatch batch) {
        if (batch.members().size() == 1) {
            Member member = batch.members().get(0);
            isolated.remove(member.name());
            LOG.error(
                    "write rejected by the state store: keys={} retryMs={}",
                    member.prepared().writes().stream().map(KeyWrite::key).toList(),
                    REJECTED_RETRY_MS);
            member.prepared().listener().rejected();
            timer.schedule(REJECTED_RETRY_MS, () -> {
                if (!pending.containsKey(member.name())) {
                    write(member.name(), member.change());
                }
            });
        } else {
            for (Member member : batch.members()) {
                isolated.add(member.name());
                requeue(member);
            }
        }
        timer.schedule(RETRY_MS, this::flush);
    }

    /** Reads the versions of these keys one after the other, then resumes writing. */
    private void reread(Deque<String> keys) {
        if (keys.isEmpty()) {
            flush();
            return;
        }
        String key = keys.peek();
        state.get(key, onEventLoop(result -> {
            if (result instanceof Ok<Entry> ok) {
                versions.setLatest(key, ok.value().version());
            } else if (result instanceof Missing<Entry>) {
                versions.setMissing(key);
            } else {
                timer.schedule(RETRY_MS, () -> reread(keys));
                return;
            }
            keys.remove();
            reread(keys);
        }));
    }
}

package notchpick.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/** The keys and values of the state store, and the log of their changes. */
final class StateStoreData {
    /**
     * A stored value.
     *
     * @param version the revision at which it was written
     * @param lease the lease that the entry is bound to; 0 if none
     */
    record Entry(JsonNode value, long version, long lease) {}

    /** A change to a key; a null value means a deletion. */
    record Change(String key, JsonNode value, long revision) {}

    private final LongSupplier clock;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final List<Change> log = new ArrayList<>();
    private final Map<String, Long> deletedAtMs = new HashMap<>();
    private final Map<String, Runnable> putListeners = new HashMap<>();
    /** Actions to run after the next write of a key with a prefix, by prefix. */
    private final Map<String, Runnable> actionsAfterWrite = new HashMap<>();

    private long revision;

    StateStoreData(LongSupplier clock) {
        this.clock = clock;
    }

    long revision() {
        return revision;
    }

    /** Starts a new revision, to which all following changes belong. */
    void nextRevision() {
        revision++;
    }

    /** The key's entry; null if there is none. */
    Entry get(String key) {
        return entries.get(key);
    }

    /** The version of the key's value; 0 if there is none. */
    long versionOf(String key) {
        Entry entry = entries.get(key);
        return entry == null ? 0 : entry.version();
    }

    /** The entries with this key or a later one, in key order; a live view. */
    Map<String, Entry> entriesFrom(String key) {
        return entries.tailMap(key);
    }

    /** Changes after this revision to keys with the prefix. */
    List<Change> changesSince(long sinceRevision, String prefix) {
        List<Change> changes = new ArrayList<>();
        for (Change change : log) {
            if (change.revision() > sinceRevision && change.key().startsWith(prefix)) {
                changes.add(change);
            }
        }
        return changes;
    }

    /** The keys that are bound to the lease. */
    List<String> keysOfLease(long lease) {
        return entries.entrySet().stream()
                .filter(entry -> entry.getValue().lease() == lease)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Writes a value in the current revision; a lease of 0 means none. */
    void put(String key, JsonNode value, long lease) {
        entries.put(key, new Entry(value, revision, lease));
        log.add(new Change(key, value, revision));
        putListeners.getOrDefault(key, () -> {}).run();
        runActionsAfterWrite(key);
    }

    /** Deletes a key in the current revision; does nothing if the key does not exist. */
    void delete(String key) {
        if (entries.remove(key) != null) {
            log.add(new Change(key, null, revision));
            deletedAtMs.put(key, clock.getAsLong());
        }
    }

    /** When the key was last deleted; negative if never. */
    long deletedAtMs(String key) {
        return deletedAtMs.getOrDefault(key, -1L);
    }

    /** Runs the action once, when a key with this prefix is next written. */
    void runAfterNextWrite(String prefix, Runnable action) {
        actionsAfterWrite.put(prefix, action);
    }

    private void runActionsAfterWrite(String key) {
        List<String> due = actionsAfterWrite.keySet().stream()
                .filter(prefix -> key.startsWith(prefix))
                .toList();
        due.forEach(prefix -> actionsAfterWrite.remove(prefix).run());
    }

    void setPutListener(String key, Runnable listener) {
        putListeners.put(key, listener);
    }
}

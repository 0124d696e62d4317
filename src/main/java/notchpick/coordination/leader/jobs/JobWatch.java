package notchpick.coordination.leader.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import notchpick.coordination.leader.term.LeaderAuthority;
import notchpick.coordination.leader.term.TermContext;
import notchpick.protocol.StateStoreClient;
import notchpick.protocol.StateStoreClient.Change;
import notchpick.protocol.StateStoreClient.Changes;
import notchpick.protocol.StateStoreClient.Entry;
import notchpick.protocol.StateStoreClient.Listing;
import notchpick.protocol.StateStoreResult.Missing;
import notchpick.protocol.StateStoreResult.Ok;
import notchpick.storage.StateKeys;

/** Watches the descriptions of open jobs in the state store, and lists them again if the watch has fallen behind. */
final class JobWatch {
    /** Is notified of changes to the open jobs. */
    interface Listener {
        /** Another watch request is about to be sent. */
        void watchStarting();

        /** The job is open. This may be called again for the same job; repeated calls must have no effect. */
        void jobOpened(String key, JsonNode description, long version);

        /** The job is no longer open. */
        void jobClosed(String id);

        /** All changes of one reply have been reported. */
        void jobsChanged();
    }

    private static final long RETRY_MS = 200;

    private final TermContext context;
    private final StateStoreClient stateStore;
    private final LeaderAuthority authority;
    private final long watchMs;
    private final Listener listener;

    /** @param watchMs how long one watch request waits for changes */
    JobWatch(
            TermContext context,
            StateStoreClient stateStore,
            LeaderAuthority authority,
            long watchMs,
            Listener listener) {
        this.context = context;
        this.stateStore = stateStore;
        this.authority = authority;
        this.watchMs = watchMs;
        this.listener = listener;
    }

    /** Watches for changes after this revision, until the term ends. */
    void start(long sinceRevision) {
        listener.watchStarting();
        long sentAtMs = context.nowMs();
        stateStore.changes(StateKeys.OPEN_JOBS, sinceRevision, watchMs, onTermTimer(result -> {
            if (result instanceof Ok<Changes> ok) {
                apply(ok.value(), sentAtMs);
                start(Math.max(sinceRevision, ok.value().revision()));
            } else if (result instanceof Missing<Changes>) {
                relist();
            } else {
                context.timer().schedule(RETRY_MS, () -> start(sinceRevision));
            }
        }));
    }

    private void apply(Changes changes, long sentAtMs) {
        for (Change change : changes.log()) {
            if (change.value() != null) {
                listener.jobOpened(change.key(), change.value(), change.version());
            } else {
                listener.jobClosed(StateKeys.openJobId(change.key()));
            }
        }
        authority.recordCompleteRead(sentAtMs);
        if (!changes.log().isEmpty()) {
            listener.jobsChanged();
        }
    }

    /** Lists all open jobs, because the state store no longer holds the changes since the last revision. */
    private void relist() {
        long sentAtMs = context.nowMs();
        stateStore.listAll(StateKeys.OPEN_JOBS, onTermTimer(result -> {
            if (!(result instanceof Ok<Listing> ok)) {
                context.timer().schedule(RETRY_MS, this::relist);
                return;
            }
            Set<String> open = new HashSet<>();
            for (Entry entry : ok.value().entries()) {
                open.add(StateKeys.openJobId(entry.key()));
                listener.jobOpened(entry.key(), entry.value(), entry.version());
            }
            context.cluster().jobIds().stream().filter(id -> !open.contains(id)).forEach(listener::jobClosed);
            authority.recordCompleteRead(sentAtMs);
            start(ok.value().revision());
        }));
    }

    /** Delivers replies through the term's timer, which drops them once the term has ended. */
    private <T> Consumer<T> onTermTimer(Consumer<T> then) {
        return value -> context.timer().schedule(0, () -> then.accept(value));
    }
}

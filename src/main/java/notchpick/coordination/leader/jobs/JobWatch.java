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

/** Watches the descriptions of open jobs in the state store, and lists them anew where the watch has fallen behind. */
final class JobWatch {
    /** Is notified of the changes that the watch brings. */
    interface Listener {
        /** Another watch request is about to be sent. */
        void watchStarting();

        /** The job is open; to be told so again changes nothing. */
        void jobOpened(String key, JsonNode description, long version);

        /** The job is not open any more. */
        void jobClosed(String id);

        /** The changes told so far have been made. */
        void jobsChanged();
    }

    private static final long RETRY_MS = 200;

    private final TermContext context;
    private final StateStoreClient stateStore;
    private final LeaderAuthority authority;
    private final long waitMs;
    private final Listener listener;

    /** @param waitMs how long one watch request waits for changes */
    JobWatch(
            TermContext context,
            StateStoreClient stateStore,
            LeaderAuthority authority,
            long waitMs,
            Listener listener) {
        this.context = context;
        this.stateStore = stateStore;
        this.authority = authority;
        this.waitMs = waitMs;
        this.listener = listener;
    }

    /** Follows the changes after this revision, until the term ends. */
    void start(long sinceRevision) {
        listener.watchStarting();
        long sentAt = context.nowMs();
        stateStore.changes(StateKeys.OPEN_JOBS, sinceRevision, waitMs, inTurn(result -> {
            if (result instanceof Ok<Changes> ok) {
                apply(ok.value(), sentAt);
                start(Math.max(sinceRevision, ok.value().revision()));
            } else if (result instanceof Missing<Changes>) {
                relist();
            } else {
                context.timer().schedule(RETRY_MS, () -> start(sinceRevision));
            }
        }));
    }

    private void apply(Changes changes, long sentAt) {
        for (Change change : changes.log()) {
            if (change.value() != null) {
                listener.jobOpened(change.key(), change.value(), change.version());
            } else {
                listener.jobClosed(StateKeys.openJobId(change.key()));
            }
        }
        authority.recordCompleteRead(sentAt);
        if (!changes.log().isEmpty()) {
            listener.jobsChanged();
        }
    }

    /** The state store has forgotten the changes since the last revision: all open jobs are read again. */
    private void relist() {
        long sentAt = context.nowMs();
        stateStore.listAll(StateKeys.OPEN_JOBS, inTurn(result -> {
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
            authority.recordCompleteRead(sentAt);
            start(ok.value().revision());
        }));
    }

    private <T> Consumer<T> inTurn(Consumer<T> then) {
        return value -> context.timer().schedule(0, () -> then.accept(value));
    }
}

package notchpick.coordination.userapi;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import notchpick.coordination.JobOutcomes;
import notchpick.model.DependencyGraph;
import notchpick.model.JobRecord;
import notchpick.protocol.StateStoreClient;
import notchpick.protocol.StateStoreClient.Change;
import notchpick.protocol.StateStoreClient.Changes;
import notchpick.protocol.StateStoreClient.Entry;
import notchpick.protocol.StateStoreClient.Listing;
import notchpick.protocol.StateStoreResult;
import notchpick.protocol.StateStoreResult.Missing;
import notchpick.protocol.StateStoreResult.Ok;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.Milliseconds;
import notchpick.storage.JobSpecCodec;
import notchpick.storage.StateKeys;
import notchpick.transport.EventLoop;
import notchpick.transport.Timer;

/**
 * A copy of the open jobs, for linearizable reads. Before a read is answered, the changes since the copy was made are
 * read from the state store by a request sent after the read began; so no answer is older than what any controller may
 * have said by then. All reads that wait share one request: their number does not change the load of the state store.
 */
final class OpenJobCache {
    /** The result of a read. */
    sealed interface Lookup {}

    /**
     * The job is open.
     *
     * @param version the version of the job's entry
     * @param cancelledByDependency whether it depends on a cancelled job, directly or transitively: then it counts as
     *         cancelled, whether or not that has been recorded
     */
    record Open(JobRecord record, long version, boolean cancelledByDependency) implements Lookup {}

    /** The job has ended, or there is no such job. */
    record NotOpen() implements Lookup {}

    /** The state store did not answer. */
    record Unavailable() implements Lookup {}

    private record OpenJob(JobRecord record, long version) {}

    private record PendingRead(String job, Consumer<Lookup> then) {}

    /** Reads take this part of the controller's requests; submissions and the leader's writes need the rest. */
    private static final double REQUEST_RATE_RATIO = 0.25;

    private static final long NOT_LISTED = -1;

    private final EventLoop loop;
    private final StateStoreClient stateStore;
    private final JobOutcomes outcomes;
    private final Timer timer;
    private final long requestIntervalMs;
    private final Map<String, OpenJob> jobs = new HashMap<>();
    private final DependencyGraph dependencies = new DependencyGraph(jobs::containsKey);
    private List<PendingRead> waiting = new ArrayList<>();
    private long revision = NOT_LISTED;
    private long lastRequestAt;
    /** A request is scheduled or in flight. */
    private boolean requestPending;

    /** @param requestsPerS the requests to the state store that this controller may send in all */
    OpenJobCache(EventLoop loop, StateStoreClient stateStore, JobOutcomes outcomes, double requestsPerS, Timer timer) {
        this.loop = loop;
        this.stateStore = stateStore;
        this.outcomes = outcomes;
        this.timer = timer;
        this.requestIntervalMs = (long) Math.ceil(Milliseconds.PER_SECOND / (requestsPerS * REQUEST_RATE_RATIO));
        this.lastRequestAt = loop.nowMs() - requestIntervalMs;
    }

    /** Reads a job as of some moment after this call. */
    void read(String job, Consumer<Lookup> then) {
        waiting.add(new PendingRead(job, then));
        if (!requestPending) {
            scheduleRequest();
        }
    }

    private void scheduleRequest() {
        requestPending = !waiting.isEmpty();
        if (requestPending) {
            timer.schedule(Math.max(0, lastRequestAt + requestIntervalMs - loop.nowMs()), this::sendRequest);
        }
    }

    private void sendRequest() {
        lastRequestAt = loop.nowMs();
        // Reads that begin from here on are answered by the next request.
        List<PendingRead> batch = waiting;
        waiting = new ArrayList<>();
        if (revision == NOT_LISTED) {
            stateStore.listAll(StateKeys.OPEN_JOBS, result -> listed(batch, result));
        } else {
            stateStore.changes(StateKeys.OPEN_JOBS, revision, 0, result -> changed(batch, result));
        }
    }

    private void listed(List<PendingRead> batch, StateStoreResult<Listing> result) {
        scheduleRequest();
        if (result instanceof Ok<Listing> ok) {
            Set<String> gone = new HashSet<>(jobs.keySet());
            for (Entry entry : ok.value().entries()) {
                gone.remove(opened(entry.key(), entry.value(), entry.version()));
            }
            gone.forEach(this::closed);
            revision = ok.value().revision();
        }
        answer(batch, result instanceof Ok<Listing>);
    }

    private void changed(List<PendingRead> batch, StateStoreResult<Changes> result) {
        if (result instanceof Missing<Changes>) {
            // The state store keeps changes for a limited time: the copy is too old, and is listed again.
            revision = NOT_LISTED;
            waiting.addAll(0, batch);
        }
        scheduleRequest();
        if (result instanceof Ok<Changes> ok) {
            for (Change change : ok.value().log()) {
                if (change.value() == null) {
                    closed(StateKeys.openJobId(change.key()));
                } else {
                    opened(change.key(), change.value(), change.version());
                }
            }
            revision = Math.max(revision, ok.value().revision());
        }
        if (revision != NOT_LISTED) {
            answer(batch, result instanceof Ok<Changes>);
        }
    }

    private String opened(String key, JsonNode value, long version) {
        String id = StateKeys.openJobId(key);
        JobSpec spec = JobSpecCodec.decode(id, value);
        jobs.put(id, new OpenJob(JobRecord.open(spec), version));
        dependencies.addJob(id, spec.dependencies());
        return id;
    }

    private void closed(String id) {
        jobs.remove(id);
        dependencies.removeJob(id);
    }

    private void answer(List<PendingRead> batch, boolean isCurrent) {
        List<PendingRead> unresolved = new ArrayList<>();
        for (PendingRead read : batch) {
            if (isCurrent
                    && dependencies.isBlocked(read.job())
                    && !dependencies.unresolved().isEmpty()) {
                unresolved.add(read);
            } else {
                answer(read, isCurrent);
            }
        }
        if (!unresolved.isEmpty()) {
            resolveDependencies(unresolved);
        }
    }

    private void answer(PendingRead read, boolean isCurrent) {
        read.then().accept(isCurrent ? lookup(read.job()) : new Unavailable());
    }

    private Lookup lookup(String id) {
        OpenJob job = jobs.get(id);
        return job == null
                ? new NotOpen()
                : new Open(job.record(), job.version(), dependencies.isCancelledByDependency(id));
    }

    /** Reads the outcomes of dependencies that have ended: a cancelled one cancels its dependents. */
    private void resolveDependencies(List<PendingRead> batch) {
        if (!stateStore.hasUnreservedBudget()) {
            batch.forEach(read -> answer(read, false));
            return;
        }
        outcomes.read(dependencies.unresolved(), found -> {
            found.ifPresent(ended -> ended.forEach(dependencies::applyOutcome));
            batch.forEach(read -> answer(read, found.isPresent()));
        });
    }
}

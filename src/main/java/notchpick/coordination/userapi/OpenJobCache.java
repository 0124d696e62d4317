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
 * A copy of the open jobs, for linearizable reads. Each read waits for a request to the state store that is sent after
 * the read began and brings the copy up to date. A read therefore never returns a state older than one that any
 * controller reported before the read began. All waiting reads share one request, so the load on the state store does
 * not grow with the number of reads.
 */
final class OpenJobCache {
    /** The result of a read. */
    sealed interface Lookup {}

    /**
     * The job is open.
     *
     * @param version the version of the job's key
     * @param cancelledByDependency whether the job depends on a cancelled job, directly or transitively; it is then
     *         cancelled, even if the leader has not recorded that yet
     */
    record Open(JobRecord record, long version, boolean cancelledByDependency) implements Lookup {}

    /** The job has ended or does not exist. */
    record NotOpen() implements Lookup {}

    /** The state store did not answer, or no request budget was left to ask it. */
    record Unavailable() implements Lookup {}

    private record OpenJob(JobRecord record, long version) {}

    private record PendingRead(String job, Consumer<Lookup> then) {}

    /** The share of this controller's request rate for reads; submissions and the leader's writes need the rest. */
    private static final double REQUEST_RATE_RATIO = 0.25;

    /** The {@link #revision} while there is no usable copy. */
    private static final long NOT_LISTED = -1;

    private final EventLoop loop;
    private final StateStoreClient stateStore;
    private final JobOutcomes outcomes;
    private final Timer timer;
    private final long requestIntervalMs;
    private final Map<String, OpenJob> jobs = new HashMap<>();
    private final DependencyGraph dependencies = new DependencyGraph(jobs::containsKey);
    /** Reads that the next request will answer. */
    private List<PendingRead> waiting = new ArrayList<>();
    /** The revision of the state store that the copy reflects. */
    private long revision = NOT_LISTED;

    private long lastRequestAtMs;
    /** Whether a request is scheduled or in flight. */
    private boolean requestPending;

    /** @param requestsPerS this controller's whole request rate at the state store, of which reads use a share */
    OpenJobCache(EventLoop loop, StateStoreClient stateStore, JobOutcomes outcomes, double requestsPerS, Timer timer) {
        this.loop = loop;
        this.stateStore = stateStore;
        this.outcomes = outcomes;
        this.timer = timer;
        this.requestIntervalMs = (long) Math.ceil(Milliseconds.PER_SECOND / (requestsPerS * REQUEST_RATE_RATIO));
        this.lastRequestAtMs = loop.nowMs() - requestIntervalMs;
    }

    /** Reads a job; the result reflects a moment after this call, never an earlier one. */
    void read(String job, Consumer<Lookup> then) {
        waiting.add(new PendingRead(job, then));
        if (!requestPending) {
            scheduleRequest();
        }
    }

    private void scheduleRequest() {
        requestPending = !waiting.isEmpty();
        if (requestPending) {
            timer.schedule(Math.max(0, lastRequestAtMs + requestIntervalMs - loop.nowMs()), this::sendRequest);
        }
    }

    private void sendRequest() {
        lastRequestAtMs = loop.nowMs();
        // Reads that begin from now on wait for the next request, because this one may return an older state.
        List<PendingRead> batch = waiting;
        waiting = new ArrayList<>();
        if (revision == NOT_LISTED) {
            stateStore.listAll(StateKeys.OPEN_JOBS, result -> handleListing(batch, result));
        } else {
            stateStore.changes(StateKeys.OPEN_JOBS, revision, 0, result -> handleChanges(batch, result));
        }
    }

    private void handleListing(List<PendingRead> batch, StateStoreResult<Listing> result) {
        scheduleRequest();
        if (result instanceof Ok<Listing> ok) {
            Set<String> noLongerOpen = new HashSet<>(jobs.keySet());
            for (Entry entry : ok.value().entries()) {
                noLongerOpen.remove(addJob(entry.key(), entry.value(), entry.version()));
            }
            noLongerOpen.forEach(this::removeJob);
            revision = ok.value().revision();
        }
        answer(batch, result instanceof Ok<Listing>);
    }

    private void handleChanges(List<PendingRead> batch, StateStoreResult<Changes> result) {
        if (result instanceof Missing<Changes>) {
            // The state store keeps changes for a limited time. The copy is too old to be updated: list all jobs again.
            revision = NOT_LISTED;
            waiting.addAll(0, batch);
        }
        scheduleRequest();
        if (result instanceof Ok<Changes> ok) {
            for (Change change : ok.value().log()) {
                if (change.value() == null) {
                    removeJob(StateKeys.openJobId(change.key()));
                } else {
                    addJob(change.key(), change.value(), change.version());
                }
            }
            revision = Math.max(revision, ok.value().revision());
        }
        if (revision != NOT_LISTED) {
            answer(batch, result instanceof Ok<Changes>);
        }
    }

    private String addJob(String key, JsonNode value, long version) {
        String id = StateKeys.openJobId(key);
        JobSpec spec = JobSpecCodec.decode(id, value);
        jobs.put(id, new OpenJob(JobRecord.open(spec), version));
        dependencies.addJob(id, spec.dependencies());
        return id;
    }

    private void removeJob(String id) {
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

    /** Reads the outcomes of ended dependencies before answering, because a cancelled one cancels its dependents. */
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

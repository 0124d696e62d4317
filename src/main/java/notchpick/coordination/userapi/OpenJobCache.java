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
import notchpick.protocol.StateStoreClient.Missing;
import notchpick.protocol.StateStoreClient.Ok;
import notchpick.protocol.StateStoreClient.Result;
import notchpick.scheduling.JobSpec;
import notchpick.storage.Records;
import notchpick.transport.EventLoop;
import notchpick.transport.Timer;

/**
 * Tells which jobs are open, any number of askers by one request. It keeps a copy, and before it answers
 * anybody it asks the state service what has changed since: that request is sent after the question came,
 * so no answer is older than what any controller may have told by then. A storm of polls costs no
 * more requests than a quiet hour.
 */
final class OpenJobCache {
    /** What is known of an open job; the version is that of its description. */
    record Open(JobRecord record, long version) {}

    /**
     * What an asker is told: nothing, where the state service gave no answer.
     *
     * @param open null if there is no such job, or it is over
     * @param doomed whether a job that it needs, directly or through others, was cancelled: so it is cancelled too,
     *         whoever may have written that down already
     */
    record Told(boolean known, Open open, boolean doomed) {}

    /** This part of the controller's requests is for questions; submissions and the leader's writes need the rest. */
    private static final double PART_OF_REQUESTS = 0.25;

    private final EventLoop loop;
    private final StateStoreClient state;
    private final JobOutcomes outcomes;
    private final Timer timer;
    private final long gapMs;
    private final Map<String, Open> jobs = new HashMap<>();
    private final DependencyGraph dependencies = new DependencyGraph(jobs::containsKey);
    private List<Asker> waiting = new ArrayList<>();
    private long revision = -1;
    private long askedAt;
    /** A request is on its way, or will be. */
    private boolean due;

    private record Asker(String job, Consumer<Told> then) {}

    /** @param requestsPerS what this controller may send in all */
    OpenJobCache(EventLoop loop, StateStoreClient state, JobOutcomes outcomes, double requestsPerS, Timer timer) {
        this.loop = loop;
        this.state = state;
        this.outcomes = outcomes;
        this.timer = timer;
        this.gapMs = (long) Math.ceil(1000 / (requestsPerS * PART_OF_REQUESTS));
        this.askedAt = loop.nowMs() - gapMs;
    }

    /** Tells how the job stood at some moment after this call. */
    void ask(String job, Consumer<Told> then) {
        waiting.add(new Asker(job, then));
        if (!due) {
            sendLater();
        }
    }

    private void send() {
        askedAt = loop.nowMs();
        // Who asks from here on is answered by the next request.
        List<Asker> asking = waiting;
        waiting = new ArrayList<>();
        if (revision < 0) {
            state.listAll(Records.OPEN, result -> listed(asking, result));
        } else {
            state.changes(Records.OPEN, revision, 0, result -> changed(asking, result));
        }
    }

    private void listed(List<Asker> asking, Result<Listing> result) {
        sendLater();
        if (result instanceof Ok<Listing> ok) {
            Set<String> gone = new HashSet<>(jobs.keySet());
            for (Entry entry : ok.value().entries()) {
                gone.remove(opened(entry.key(), entry.value(), entry.version()));
            }
            gone.forEach(this::closed);
            revision = ok.value().revision();
        }
        tell(asking, result instanceof Ok<Listing>);
    }

    private void changed(List<Asker> asking, Result<Changes> result) {
        if (result instanceof Missing<Changes>) {
            // Nobody has asked for so long that the service has forgotten what changed.
            revision = -1;
            waiting.addAll(0, asking);
        }
        sendLater();
        if (result instanceof Ok<Changes> ok) {
            for (Change change : ok.value().log()) {
                if (change.value() == null) {
                    closed(change.key().substring(Records.OPEN.length()));
                } else {
                    opened(change.key(), change.value(), change.version());
                }
            }
            revision = Math.max(revision, ok.value().revision());
        }
        if (revision >= 0) {
            tell(asking, result instanceof Ok<Changes>);
        }
    }

    private String opened(String key, JsonNode value, long version) {
        String id = key.substring(Records.OPEN.length());
        JobSpec spec = Records.spec(id, value);
        jobs.put(id, new Open(JobRecord.open(spec), version));
        dependencies.opened(id, spec.dependencies());
        return id;
    }

    private void closed(String id) {
        jobs.remove(id);
        dependencies.closed(id);
    }

    private void sendLater() {
        due = !waiting.isEmpty();
        if (due) {
            timer.after(Math.max(0, askedAt + gapMs - loop.nowMs()), this::send);
        }
    }

    private void tell(List<Asker> asking, boolean known) {
        List<Asker> held = new ArrayList<>();
        for (Asker asker : asking) {
            if (known
                    && dependencies.isBlocked(asker.job())
                    && !dependencies.unresolved().isEmpty()) {
                held.add(asker);
            } else {
                tell(asker, known);
            }
        }
        if (!held.isEmpty()) {
            resolve(held);
        }
    }

    private void tell(Asker asker, boolean known) {
        asker.then().accept(new Told(known, jobs.get(asker.job()), dependencies.isDoomed(asker.job())));
    }

    /** Reads how the jobs ended that others need, before anything is said of these. */
    private void resolve(List<Asker> held) {
        if (!state.hasSpare()) {
            held.forEach(asker -> tell(asker, false));
            return;
        }
        outcomes.read(dependencies.unresolved(), found -> {
            if (found != null) {
                found.forEach(dependencies::resolved);
            }
            held.forEach(asker -> tell(asker, found != null));
        });
    }
}

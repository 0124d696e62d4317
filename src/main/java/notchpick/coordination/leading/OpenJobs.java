package notchpick.coordination.leading;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import notchpick.bookkeeping.ClusterState;
import notchpick.bookkeeping.DoneMarks;
import notchpick.bookkeeping.FencedWriter;
import notchpick.bookkeeping.FencedWriter.Prepared;
import notchpick.bookkeeping.FencedWriter.Write;
import notchpick.bookkeeping.Job;
import notchpick.bookkeeping.PackedRecords;
import notchpick.bookkeeping.Records;
import notchpick.bookkeeping.Records.DoneRun;
import notchpick.bookkeeping.Records.JobRecord;
import notchpick.bookkeeping.TaskAssignment;
import notchpick.bookkeeping.TaskAssignment.Phase;
import notchpick.coordination.Deployment;
import notchpick.coordination.JobOutcomes;
import notchpick.protocol.StateApi;
import notchpick.protocol.StateApi.Change;
import notchpick.protocol.StateApi.Changes;
import notchpick.protocol.StateApi.Entry;
import notchpick.protocol.StateApi.Listing;
import notchpick.protocol.StateApi.Missing;
import notchpick.protocol.StateApi.Ok;
import notchpick.scheduling.JobSpec;
import notchpick.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The leader's view of jobs as they come, progress and end; users' changes are watched in the state service. */
final class OpenJobs {
    private static final Logger LOG = LoggerFactory.getLogger(OpenJobs.class);
    private static final long RETRY_MS = 200;

    private final EventLoop loop;
    private final Deployment deployment;
    private final StateApi state;
    private final ClusterState cluster;
    private final FencedWriter writer;
    private final LeaderAuthority authority;
    private final long watchMs;
    private final Pipelines pipelines;
    private final BiConsumer<Long, Runnable> timer;
    private final Runnable changed;
    private final Runnable saved;
    private final PackedRecords<DoneMarks> marks;
    /** A job's runs of done marks, by the first task of each. */
    private final Map<Job, Map<Integer, DoneMarks>> runs = new HashMap<>();

    /**
     * @param entitlement hears how complete what is known of users' cancellations is
     * @param watchMs how long one look at users' changes waits for them
     * @param changed hears when jobs have come or gone; saved, when tasks' ends have become durable
     */
    OpenJobs(
            EventLoop loop,
            Deployment deployment,
            StateApi state,
            ClusterState cluster,
            FencedWriter writer,
            LeaderAuthority authority,
            long watchMs,
            ToDoubleFunction<JobSpec> stageS,
            BiConsumer<Long, Runnable> timer,
            Runnable changed,
            Runnable saved) {
        this.loop = loop;
        this.deployment = deployment;
        this.state = state;
        this.cluster = cluster;
        this.writer = writer;
        this.timer = timer;
        this.changed = changed;
        this.saved = saved;
        this.authority = authority;
        this.watchMs = watchMs;
        this.pipelines = new Pipelines(
                loop, deployment, cluster, writer, new JobOutcomes(state), stageS, timer, changed, this::cancelled);
        this.marks = new PackedRecords<>(
                writer,
                Records.DONE_TASKS,
                new PackedRecords.Form<>(Records::doneBytes, Records::done),
                PackedRecords.Fill.FULLEST,
                deployment.valueBytes(),
                deployment.writesAtOnce(),
                this::durable);
    }

    private <T> Consumer<T> inTurn(Consumer<T> then) {
        return value -> timer.accept(0L, () -> then.accept(value));
    }

    // ---- as read at the start of a term --------------------------------------------------------

    /** @param sentAt when the listing was asked for */
    void load(Listing open, long sentAt) {
        authority.known(sentAt);
        cluster.jobs.clear();
        open.entries().forEach(entry -> opened(entry.key(), entry.value(), entry.version()));
    }

    /** Takes in the done marks that a former leader left. */
    void loadDone(Listing listing) {
        for (Entry entry : listing.entries()) {
            writer.known(entry.key(), entry.version());
            Set<DoneMarks> loaded = new LinkedHashSet<>();
            for (DoneRun run : Records.done(entry.value())) {
                Job job = cluster.jobs.get(run.job());
                if (job != null) {
                    run.bits().stream().forEach(bit -> {
                        job.finish(run.first() + bit);
                        job.durable.set(run.first() + bit);
                    });
                    // However long the run is that another version wrote.
                    int end = run.first() + Math.max(1, run.bits().length());
                    for (int first = run.first() - run.first() % runLength(); first < end; first += runLength()) {
                        loaded.add(run(job, first));
                    }
                }
            }
            marks.loaded(entry.key(), loaded);
        }
    }

    // ---- users' changes ------------------------------------------------------------------------

    /** Follows the changes of open jobs from this revision on. */
    void watch(long since) {
        pipelines.settle();
        long sentAt = loop.now();
        state.changes(Records.OPEN, since, watchMs, inTurn(result -> {
            if (result instanceof Ok<Changes> ok) {
                for (Change change : ok.value().log()) {
                    if (change.value() != null) {
                        opened(change.key(), change.value(), change.version());
                    } else {
                        closed(change.key().substring(Records.OPEN.length()));
                    }
                }
                authority.known(sentAt);
                if (!ok.value().log().isEmpty()) {
                    changed.run();
                }
                watch(Math.max(since, ok.value().revision()));
            } else if (result instanceof Missing<Changes>) {
                relist();
            } else {
                timer.accept(RETRY_MS, () -> watch(since));
            }
        }));
    }

    /** The watch is too far behind: read all open jobs again. */
    private void relist() {
        long sentAt = loop.now();
        state.listAll(Records.OPEN, inTurn(result -> {
            if (!(result instanceof Ok<Listing> ok)) {
                timer.accept(RETRY_MS, this::relist);
                return;
            }
            Set<String> open = new HashSet<>();
            for (Entry entry : ok.value().entries()) {
                open.add(entry.key().substring(Records.OPEN.length()));
                opened(entry.key(), entry.value(), entry.version());
            }
            List.copyOf(cluster.jobs.keySet()).stream()
                    .filter(id -> !open.contains(id))
                    .forEach(this::closed);
            authority.known(sentAt);
            watch(ok.value().revision());
        }));
    }

    private void opened(String key, JsonNode value, long version) {
        String id = key.substring(Records.OPEN.length());
        if (!cluster.jobs.containsKey(id)) {
            Job job = new Job(Records.spec(id, value), version);
            cluster.jobs.put(id, job);
            pipelines.opened(job);
        }
    }

    /** The job is over, by its last task or by its user. */
    private void closed(String id) {
        Job job = cluster.jobs.remove(id);
        if (job == null) {
            return;
        }
        if (!job.isDone()) {
            LOG.info("job {} was cancelled", id);
        }
        for (TaskAssignment binding : cluster.bindingsOf(id)) {
            if (binding.phase == Phase.PLANNED || binding.phase == Phase.READY) {
                cluster.unbind(binding);
            } else {
                binding.stopGraceS = 0.0;
                // It was confirmed after the last complete read was sent, or would have been known by that.
                binding.overSince = authority.knownAt();
            }
        }
        Map<Integer, DoneMarks> over = runs.remove(job);
        if (over != null) {
            over.values().forEach(marks::drop);
        }
        pipelines.closed(id);
    }

    /** The state service has told that these jobs are over, before the watch has; how they ended is read. */
    void over(List<String> ids) {
        ids.forEach(this::closed);
        pipelines.settle();
        changed.run();
    }

    /** For what they need has been: they never ran, so nothing else becomes of them. */
    private void cancelled(Collection<String> ids) {
        for (String id : ids) {
            Job job = cluster.jobs.get(id);
            if (job != null) {
                closed(id);
                pipelines.ended(id, JobRecord.open(job.spec).cancelled(loop.wallTime()));
            }
        }
    }

    // ---- tasks end -----------------------------------------------------------------------------

    /** A worker says that the task is done; it is written down before the worker may forget it. */
    void finished(Job job, int task) {
        if (job.isDone()) {
            String id = job.spec.id();
            writer.write("end " + id, () -> cluster.jobs.get(id) == job ? end(job) : null);
        } else {
            marks.save(run(job, task - task % runLength()));
        }
    }

    private DoneMarks run(Job job, int first) {
        return runs.computeIfAbsent(job, j -> new HashMap<>())
                .computeIfAbsent(first, f -> new DoneMarks(job, f, Math.min(runLength(), job.spec.tasks() - f)));
    }

    /** So many marks, six to a character, take half of a value. */
    private int runLength() {
        return deployment.valueBytes() * 3;
    }

    private void durable(List<DoneMarks> written) {
        written.forEach(DoneMarks::durable);
        saved.run();
    }

    /** The last transition of a job; guarded on its description, so that it can't cross a cancellation. */
    private Prepared end(Job job) {
        String id = job.spec.id();
        JobRecord record = JobRecord.done(job.spec, loop.wallTime());
        List<Write> writes = List.of(
                Write.put(Records.JOB + id, Records.job(record)).unguarded(),
                Write.delete(Records.OPEN + id).at(job.version));
        return new Prepared(
                writes,
                () -> {
                    LOG.info("job {} is done", id);
                    closed(id);
                    pipelines.ended(id, record);
                    saved.run();
                },
                () -> {
                    // Cancelled meanwhile, or ended by a transaction whose answer was lost; the watch tells it too.
                    closed(id);
                    pipelines.settle();
                    saved.run();
                });
    }

    /** Writes away what is left of jobs that are over. */
    void tidy() {
        marks.tidy();
    }
}

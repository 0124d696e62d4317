package notchpick.coordination.leading;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import notchpick.bookkeeping.ClusterState;
import notchpick.bookkeeping.Dependencies;
import notchpick.bookkeeping.FencedWriter;
import notchpick.bookkeeping.FencedWriter.Prepared;
import notchpick.bookkeeping.FencedWriter.Write;
import notchpick.bookkeeping.Job;
import notchpick.bookkeeping.Records;
import notchpick.bookkeeping.Records.Fate;
import notchpick.bookkeeping.Records.JobRecord;
import notchpick.coordination.Deployment;
import notchpick.coordination.JobOutcomes;
import notchpick.scheduling.CriticalPath;
import notchpick.scheduling.JobSpec;
import notchpick.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's care for jobs that need others: holds them until all that they need is durably done, has those that
 * are needed count as what needs them, and cancels what needs a cancelled one.
 */
final class Pipelines {
    private static final Logger LOG = LoggerFactory.getLogger(Pipelines.class);
    private static final long RETRY_MS = 200;
    /** The cancellations that follow from one take this part of a transaction: users can tell them without. */
    private static final int CASCADE_PART = 4;

    private final EventLoop loop;
    private final ClusterState cluster;
    private final FencedWriter writer;
    private final JobOutcomes fates;
    private final ToDoubleFunction<JobSpec> stageS;
    private final BiConsumer<Long, Runnable> timer;
    private final Runnable ready;
    private final Consumer<Collection<String>> cancelled;
    private final int cascadeJobs;
    private final Dependencies dependencies;
    private final CriticalPath path = new CriticalPath();
    private boolean reading;

    /**
     * @param stageS how long a job is expected to take once it is ready
     * @param ready hears when jobs need nothing more
     * @param cancelled hears of jobs whose cancellation for another's has become durable
     */
    Pipelines(
            EventLoop loop,
            Deployment deployment,
            ClusterState cluster,
            FencedWriter writer,
            JobOutcomes fates,
            ToDoubleFunction<JobSpec> stageS,
            BiConsumer<Long, Runnable> timer,
            Runnable ready,
            Consumer<Collection<String>> cancelled) {
        this.loop = loop;
        this.cluster = cluster;
        this.writer = writer;
        this.fates = fates;
        this.stageS = stageS;
        this.timer = timer;
        this.ready = ready;
        this.cancelled = cancelled;
        this.cascadeJobs = Math.max(1, deployment.writesAtOnce() / CASCADE_PART);
        this.dependencies = new Dependencies(cluster.jobs::containsKey);
    }

    /** A job has come; {@link #settle} follows when all that came with it are known. */
    void opened(Job job) {
        JobSpec spec = job.spec;
        dependencies.opened(spec.id(), spec.needs());
        job.held = dependencies.holds(spec.id());
        recount(path.add(spec, stageS.applyAsDouble(spec)));
    }

    /** A job is over; {@link #settle} finds out how, should others need it. */
    void closed(String id) {
        recount(path.remove(id));
        dependencies.closed(id);
    }

    /** It is known how a job that is over ended: durably. */
    void ended(String id, JobRecord record) {
        boolean letGo = false;
        for (String next : dependencies.resolved(id, record)) {
            Job job = cluster.jobs.get(next);
            job.held = false;
            cluster.respec(job, job.spec.readyAt(Math.max(job.spec.submittedAt(), dependencies.lastEndedAt(next))));
            LOG.info("job {} needs nothing more", next);
            letGo = true;
        }
        if (letGo) {
            ready.run();
        }
        if (record.fate() == Fate.CANCELLED) {
            cascade();
        }
    }

    /** Reads how those ended of which it is only known that they are over. */
    void settle() {
        if (reading || dependencies.unresolved().isEmpty()) {
            return;
        }
        reading = true;
        fates.read(
                Set.copyOf(dependencies.unresolved()),
                found -> timer.accept(0L, () -> {
                    reading = false;
                    if (found != null) {
                        found.forEach(this::ended);
                    }
                    if (!dependencies.unresolved().isEmpty()) {
                        timer.accept(RETRY_MS, this::settle);
                    }
                }));
    }

    private void recount(Collection<String> changed) {
        for (String id : changed) {
            Job job = cluster.jobs.get(id);
            if (job != null) {
                cluster.respec(job, path.counting(job.spec));
            }
        }
    }

    // ---- a cancelled job takes along those that need it -----------------------------------------

    private void cascade() {
        // What will never run must not hurry what it needs.
        dependencies.doomed().forEach(id -> recount(path.remove(id)));
        if (!dependencies.doomed().isEmpty()) {
            writer.write("cascade", this::prepare);
        }
    }

    /** A few at a time: that they are cancelled follows from what is stored, so others' writes may go first. */
    private Prepared prepare() {
        List<String> next = new ArrayList<>();
        List<Write> writes = new ArrayList<>();
        for (String id : dependencies.doomed()) {
            Job job = cluster.jobs.get(id);
            if (job != null && next.size() < cascadeJobs) {
                next.add(id);
                writes.add(Write.put(
                                Records.JOB + id,
                                Records.job(JobRecord.open(job.spec).cancelled(loop.wallTime())))
                        .unguarded());
                writes.add(Write.delete(Records.OPEN + id).at(job.version));
            }
        }
        if (next.isEmpty()) {
            return null;
        }
        return new Prepared(
                writes,
                () -> {
                    LOG.info("jobs {} are cancelled with what they need", next);
                    cancelled.accept(next);
                    cascade();
                },
                () -> timer.accept(RETRY_MS, this::cascade));
    }
}

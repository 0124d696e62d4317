package notchpick.coordination.leader.jobs;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import notchpick.coordination.JobOutcomes;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.ClusterState;
import notchpick.model.DependencyGraph;
import notchpick.model.Job;
import notchpick.model.JobRecord;
import notchpick.model.JobStatus;
import notchpick.scheduling.CriticalPath;
import notchpick.scheduling.JobSpec;
import notchpick.storage.FencedWriter;
import notchpick.storage.JobRecordCodec;
import notchpick.storage.KeyWrite;
import notchpick.storage.PreparedChange;
import notchpick.storage.StateKeys;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks job dependencies: blocks jobs until all that they depend on is durably done, has dependencies inherit the
 * priority and deadline of their dependents, and cancels what depends on a cancelled job.
 */
final class DependencyTracker {
    /** Is notified of the outcome of jobs with dependencies. */
    interface Listener {
        /** The dependencies of jobs are satisfied. */
        void jobsReady();

        /** The cancellation of these jobs, for that of a dependency, is durable. */
        void cancelledWithDependencies(Collection<String> ids);
    }

    private static final Logger LOG = LoggerFactory.getLogger(DependencyTracker.class);
    private static final long RETRY_MS = 200;
    /** Cascading cancellations take this part of a transaction, as users are told of them without it. */
    private static final int CASCADE_PART = 4;

    private final TermContext context;
    private final ClusterState cluster;
    private final FencedWriter writer;
    private final JobOutcomes outcomes;
    private final JobTracker.StageEstimator stages;
    private final Listener listener;
    private final int maxCascadeJobs;
    private final DependencyGraph graph;
    private final CriticalPath criticalPath = new CriticalPath();
    private boolean resolving;

    DependencyTracker(
            TermContext context,
            FencedWriter writer,
            JobOutcomes outcomes,
            JobTracker.StageEstimator stages,
            Listener listener) {
        this.context = context;
        this.cluster = context.cluster();
        this.writer = writer;
        this.outcomes = outcomes;
        this.stages = stages;
        this.listener = listener;
        this.maxCascadeJobs = Math.max(1, context.deployment().maxTransactionWrites() / CASCADE_PART);
        this.graph = new DependencyGraph(cluster::isOpen);
    }

    /** A job has come; {@link #resolveEnded} follows when all that came with it are known. */
    void opened(Job job) {
        JobSpec spec = job.spec();
        graph.addJob(spec.id(), spec.dependencies());
        job.setBlocked(graph.isBlocked(spec.id()));
        updatePriorities(criticalPath.add(spec, stages.stageS(spec)));
    }

    /** A job has ended; {@link #resolveEnded} finds out how, should others depend on it. */
    void closed(String id) {
        updatePriorities(criticalPath.remove(id));
        graph.removeJob(id);
    }

    /** It is known, and durable, how a job has ended. */
    void ended(String id, JobRecord record) {
        boolean anyReady = false;
        for (String ready : graph.applyOutcome(id, record)) {
            Job job = cluster.job(ready);
            job.setBlocked(false);
            long readyAt = Math.max(job.spec().submittedAtMs(), graph.lastEndedAtMs(ready));
            cluster.replaceSpec(job, job.spec().withReadyAtMs(readyAt));
            LOG.info("dependencies satisfied: job={} last={}", ready, id);
            anyReady = true;
        }
        if (anyReady) {
            listener.jobsReady();
        }
        if (record.status() == JobStatus.CANCELLED) {
            cascade();
        }
    }

    /** Reads how the dependencies ended of which it is only known that they are not open any more. */
    void resolveEnded() {
        if (resolving || graph.unresolved().isEmpty()) {
            return;
        }
        resolving = true;
        outcomes.read(
                Set.copyOf(graph.unresolved()),
                found -> context.timer().schedule(0, () -> {
                    resolving = false;
                    found.ifPresent(outcomes -> outcomes.forEach(this::ended));
                    if (!graph.unresolved().isEmpty()) {
                        context.timer().schedule(RETRY_MS, this::resolveEnded);
                    }
                }));
    }

    private void updatePriorities(Collection<String> changed) {
        for (String id : changed) {
            Job job = cluster.job(id);
            if (job != null) {
                cluster.replaceSpec(job, criticalPath.effective(job.spec()));
            }
        }
    }

    private void cascade() {
        // What will never run must not raise the priority of its dependencies.
        graph.cancelledByDependency().forEach(id -> updatePriorities(criticalPath.remove(id)));
        if (!graph.cancelledByDependency().isEmpty()) {
            writer.write("cascade", this::prepareCascade);
        }
    }

    /** A few at a time: that they are cancelled follows from what is stored, so other writes may go first. */
    private Optional<PreparedChange> prepareCascade() {
        List<String> cancelled = new ArrayList<>();
        List<KeyWrite> writes = new ArrayList<>();
        for (String id : graph.cancelledByDependency()) {
            Job job = cluster.job(id);
            if (job != null && cancelled.size() < maxCascadeJobs) {
                cancelled.add(id);
                JobRecord record =
                        JobRecord.open(job.spec()).cancelled(context.loop().wallTimeMs());
                writes.add(KeyWrite.put(StateKeys.JOB_RECORDS + id, JobRecordCodec.encode(record))
                        .unconditional());
                writes.add(KeyWrite.delete(StateKeys.OPEN_JOBS + id).ifVersion(job.version()));
            }
        }
        if (cancelled.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new PreparedChange(writes, new PreparedChange.Listener() {
            @Override
            public void committed() {
                LOG.info("jobs cancelled with a dependency: jobs={}", cancelled);
                listener.cancelledWithDependencies(cancelled);
                cascade();
            }

            @Override
            public void conflicted() {
                context.timer().schedule(RETRY_MS, DependencyTracker.this::cascade);
            }
        }));
    }
}

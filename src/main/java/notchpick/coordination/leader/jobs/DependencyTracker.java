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
 * Tracks dependencies between jobs. A job is blocked until all of its dependencies are durably done, dependencies
 * inherit the priority and deadline of their dependents, and the dependents of a cancelled job are cancelled.
 */
final class DependencyTracker {
    /** Is notified of jobs that become ready or are cancelled because of their dependencies. */
    interface Listener {
        /** The dependencies of some blocked jobs are now satisfied. */
        void jobsReady();

        /** The cancellation of these jobs, which depend on a cancelled one, is durable. */
        void dependentsCancelled(Collection<String> ids);
    }

    private static final Logger LOG = LoggerFactory.getLogger(DependencyTracker.class);
    private static final long RETRY_MS = 200;
    /**
     * A transaction cancels at most as many dependents as its maximum number of writes divided by this. Each
     * cancellation takes two writes, so half of the transaction is left for more urgent changes. Cancelling dependents
     * is less urgent because users already see these jobs as cancelled.
     */
    private static final int CASCADE_DIVISOR = 4;

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
        this.maxCascadeJobs = Math.max(1, context.deployment().maxTransactionWrites() / CASCADE_DIVISOR);
        this.graph = new DependencyGraph(cluster::isOpen);
    }

    /**
     * Adds an open job. {@link #resolveEndedDependencies} must be called once all jobs that were read together are
     * added, as a job may be added before its dependencies.
     */
    void addJob(Job job) {
        JobSpec spec = job.spec();
        graph.addJob(spec.id(), spec.dependencies());
        job.setBlocked(graph.isBlocked(spec.id()));
        updatePriorities(criticalPath.add(spec, stages.stageS(spec)));
    }

    /** Removes a job that has ended. If others depend on it, {@link #resolveEndedDependencies} reads its outcome. */
    void removeJob(String id) {
        updatePriorities(criticalPath.remove(id));
        graph.removeJob(id);
    }

    /** Applies the durable outcome of an ended job to its dependents. */
    void resolveDependents(String id, JobRecord record) {
        boolean anyReady = false;
        for (String ready : graph.applyOutcome(id, record)) {
            Job job = cluster.job(ready);
            job.setBlocked(false);
            long readyAtMs = Math.max(job.spec().submittedAtMs(), graph.lastEndedAtMs(ready));
            cluster.replaceSpec(job, job.spec().withReadyAtMs(readyAtMs));
            LOG.info("dependencies satisfied: job={} last={}", ready, id);
            anyReady = true;
        }
        if (anyReady) {
            listener.jobsReady();
        }
        if (record.status() == JobStatus.CANCELLED) {
            cancelDependents();
        }
    }

    /**
     * Reads the outcomes of dependencies that are no longer open and whose outcome is unknown; retries until none is
     * left.
     */
    void resolveEndedDependencies() {
        if (resolving || graph.unresolved().isEmpty()) {
            return;
        }
        resolving = true;
        outcomes.read(
                Set.copyOf(graph.unresolved()),
                found -> context.timer().schedule(0, () -> {
                    resolving = false;
                    found.ifPresent(outcomes -> outcomes.forEach(this::resolveDependents));
                    if (!graph.unresolved().isEmpty()) {
                        context.timer().schedule(RETRY_MS, this::resolveEndedDependencies);
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

    private void cancelDependents() {
        // A job that will never run must not raise the priority of its dependencies.
        graph.cancelledByDependency().forEach(id -> updatePriorities(criticalPath.remove(id)));
        if (!graph.cancelledByDependency().isEmpty()) {
            writer.write("cascade", this::prepareCancellations);
        }
    }

    /**
     * Prepares the cancellation of a limited number of dependents. Other writes may go first, because the stored data
     * already implies that these jobs are cancelled.
     */
    private Optional<PreparedChange> prepareCancellations() {
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
                LOG.info("jobs cancelled because a dependency was cancelled: jobs={}", cancelled);
                listener.dependentsCancelled(cancelled);
                cancelDependents();
            }

            @Override
            public void conflicted() {
                context.timer().schedule(RETRY_MS, DependencyTracker.this::cancelDependents);
            }
        }));
    }
}

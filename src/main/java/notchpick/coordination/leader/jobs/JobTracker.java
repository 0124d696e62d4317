package notchpick.coordination.leader.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import notchpick.coordination.JobOutcomes;
import notchpick.coordination.leader.term.LeaderAuthority;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.ClusterState;
import notchpick.model.Job;
import notchpick.model.JobRecord;
import notchpick.model.TaskAssignment;
import notchpick.protocol.StateStoreClient;
import notchpick.protocol.StateStoreClient.Entry;
import notchpick.protocol.StateStoreClient.Listing;
import notchpick.scheduling.JobSpec;
import notchpick.storage.FencedWriter;
import notchpick.storage.JobRecordCodec;
import notchpick.storage.JobSpecCodec;
import notchpick.storage.KeyWrite;
import notchpick.storage.PreparedChange;
import notchpick.storage.StateKeys;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Follows jobs from their acceptance to their end, and makes the completion of tasks and jobs durable. */
public final class JobTracker {
    /** Is notified of changes that others wait for. */
    public interface Listener {
        /** Jobs have come, gone, or become ready. */
        void jobsChanged();

        /** Completions have become durable, so that workers may forget them. */
        void completionsRecorded();
    }

    /** Estimates how long a job takes once its dependencies are satisfied. */
    @FunctionalInterface
    public interface StageEstimator {
        /** The expected time in seconds from the start of the job's first task to its end. */
        double stageS(JobSpec spec);
    }

    private static final Logger LOG = LoggerFactory.getLogger(JobTracker.class);

    private final TermContext context;
    private final ClusterState cluster;
    private final FencedWriter writer;
    private final LeaderAuthority authority;
    private final Listener listener;
    private final JobWatch watch;
    private final DependencyTracker dependencies;
    private final CompletionLog completions;

    /** @param watchMs how long one watch request waits for changes */
    public JobTracker(
            TermContext context,
            StateStoreClient stateStore,
            FencedWriter writer,
            LeaderAuthority authority,
            long watchMs,
            StageEstimator stages,
            Listener listener) {
        this.context = context;
        this.cluster = context.cluster();
        this.writer = writer;
        this.authority = authority;
        this.listener = listener;
        this.watch = new JobWatch(context, stateStore, authority, watchMs, new WatchListener());
        this.dependencies =
                new DependencyTracker(context, writer, new JobOutcomes(stateStore), stages, new DependencyListener());
        this.completions = new CompletionLog(context, writer, listener::completionsRecorded);
    }

    private final class WatchListener implements JobWatch.Listener {
        @Override
        public void watchStarting() {
            dependencies.resolveEnded();
        }

        @Override
        public void jobOpened(String key, JsonNode description, long version) {
            opened(key, description, version);
        }

        @Override
        public void jobClosed(String id) {
            closed(id);
        }

        @Override
        public void jobsChanged() {
            listener.jobsChanged();
        }
    }

    private final class DependencyListener implements DependencyTracker.Listener {
        @Override
        public void jobsReady() {
            listener.jobsChanged();
        }

        @Override
        public void cancelledWithDependencies(Collection<String> ids) {
            cancelled(ids);
        }
    }

    // ---- recovery ------------------------------------------------------------------------------

    /** Takes in the open jobs, as listed by a request that was sent then. */
    public void loadOpenJobs(Listing open, long sentAtMs) {
        authority.recordCompleteRead(sentAtMs);
        cluster.clearJobs();
        open.entries().forEach(entry -> opened(entry.key(), entry.value(), entry.version()));
    }

    /** Takes in the completions that a former leader recorded. */
    public void loadCompletions(Listing listing) {
        for (Entry entry : listing.entries()) {
            writer.recordVersion(entry.key(), entry.version());
            completions.load(entry.key(), entry.value());
        }
    }

    /** Follows the changes of open jobs from this revision on. */
    public void watch(long sinceRevision) {
        watch.start(sinceRevision);
    }

    // ---- lifecycle of a job --------------------------------------------------------------------

    private void opened(String key, JsonNode description, long version) {
        String id = StateKeys.openJobId(key);
        if (!cluster.isOpen(id)) {
            Job job = new Job(JobSpecCodec.decode(id, description), version);
            cluster.addJob(job);
            dependencies.opened(job);
        }
    }

    /** The job has ended, by its last task or by its user. */
    private void closed(String id) {
        Job job = cluster.removeJob(id);
        if (job == null) {
            return;
        }
        if (!job.isDone()) {
            LOG.info("job cancelled: job={}", id);
        }
        for (TaskAssignment assignment : cluster.assignmentsOf(id)) {
            if (assignment.canBeOnWorker()) {
                // The end was confirmed after the last complete read was sent, or would have been known by that.
                assignment.requestImmediateStop(authority.lastCompleteReadSentAtMs());
            } else {
                cluster.unassign(assignment);
            }
        }
        completions.drop(job);
        dependencies.closed(id);
    }

    /** A conditional write has shown that these jobs have ended, before the watch has; how they ended is read. */
    public void closeEndedJobs(List<String> ids) {
        ids.forEach(this::closed);
        dependencies.resolveEnded();
        listener.jobsChanged();
    }

    /** Jobs were cancelled because a dependency was: they never ran, so nothing else becomes of them. */
    private void cancelled(Collection<String> ids) {
        for (String id : ids) {
            Job job = cluster.job(id);
            if (job != null) {
                closed(id);
                dependencies.ended(
                        id, JobRecord.open(job.spec()).cancelled(context.loop().wallTimeMs()));
            }
        }
    }

    // ---- completion ----------------------------------------------------------------------------

    /** A worker reports that the task has completed; it is recorded before the worker may forget it. */
    public void taskCompleted(Job job, int task) {
        if (job.isDone()) {
            String id = job.id();
            writer.write("end " + id, () -> cluster.job(id) == job ? Optional.of(prepareEnd(job)) : Optional.empty());
        } else {
            completions.record(job, task);
        }
    }

    /** The last transition of a job; conditional on its description, so that it can't cross a cancellation. */
    private PreparedChange prepareEnd(Job job) {
        String id = job.id();
        JobRecord record = JobRecord.done(job.spec(), context.loop().wallTimeMs());
        List<KeyWrite> writes = List.of(
                KeyWrite.put(StateKeys.JOB_RECORDS + id, JobRecordCodec.encode(record))
                        .unconditional(),
                KeyWrite.delete(StateKeys.OPEN_JOBS + id).ifVersion(job.version()));
        return new PreparedChange(writes, new PreparedChange.Listener() {
            @Override
            public void committed() {
                LOG.info("job done: job={} tasks={}", id, job.spec().tasks());
                closed(id);
                dependencies.ended(id, record);
                listener.completionsRecorded();
            }

            @Override
            public void conflicted() {
                // Cancelled meanwhile, or ended by a transaction whose reply was lost; the watch tells it too.
                closed(id);
                dependencies.resolveEnded();
                listener.completionsRecorded();
            }
        });
    }

    /** Rewrites values that hold completions of jobs that have ended. */
    public void compact() {
        completions.compact();
    }
}

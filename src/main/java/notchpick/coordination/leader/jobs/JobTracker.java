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

/** Tracks jobs from their acceptance to their end, and makes the completion of tasks and jobs durable. */
public final class JobTracker {
    /** Is notified of changes to the open jobs and of durable completions. */
    public interface Listener {
        /** Jobs have been opened, have ended or have become ready. */
        void jobsChanged();

        /** Completions have become durable, so that workers may drop them. */
        void completionsRecorded();
    }

    /** Estimates how long a job takes once its dependencies are satisfied. */
    @FunctionalInterface
    public interface StageEstimator {
        /** The expected time in seconds from the start of the job's first task to the end of the job. */
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
            dependencies.resolveEndedDependencies();
        }

        @Override
        public void jobOpened(String key, JsonNode description, long version) {
            addJob(key, description, version);
        }

        @Override
        public void jobClosed(String id) {
            closeJob(id);
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
        public void dependentsCancelled(Collection<String> ids) {
            closeCancelledDependents(ids);
        }
    }

    /**
     * Replaces the open jobs by those of a complete listing.
     *
     * @param sentAtMs when the request for the listing was sent
     */
    public void loadOpenJobs(Listing open, long sentAtMs) {
        authority.recordCompleteRead(sentAtMs);
        cluster.clearJobs();
        open.entries().forEach(entry -> addJob(entry.key(), entry.value(), entry.version()));
    }

    /** Loads the completions that a former leader recorded. */
    public void loadCompletions(Listing listing) {
        for (Entry entry : listing.entries()) {
            writer.recordVersion(entry.key(), entry.version());
            completions.load(entry.key(), entry.value());
        }
    }

    /** Watches for changes of the open jobs after this revision, until the term ends. */
    public void watch(long sinceRevision) {
        watch.start(sinceRevision);
    }

    private void addJob(String key, JsonNode description, long version) {
        String id = StateKeys.openJobId(key);
        if (!cluster.isOpen(id)) {
            Job job = new Job(JobSpecCodec.decode(id, description), version);
            cluster.addJob(job);
            dependencies.addJob(job);
        }
    }

    /** Removes a job that was done or cancelled, and stops its tasks. */
    private void closeJob(String id) {
        Job job = cluster.removeJob(id);
        if (job == null) {
            return;
        }
        if (!job.isDone()) {
            LOG.info("job cancelled: job={}", id);
        }
        for (TaskAssignment assignment : cluster.assignmentsOf(id)) {
            if (assignment.canBeOnWorker()) {
                // The end was confirmed after the last complete read was sent; otherwise that read would have shown it.
                assignment.requestImmediateStop(authority.lastCompleteReadSentAtMs());
            } else {
                cluster.unassign(assignment);
            }
        }
        completions.drop(job);
        dependencies.removeJob(id);
    }

    /**
     * Closes jobs that a failed precondition of a write has shown to have ended, before the watch reports it, and reads
     * their outcomes.
     */
    public void closeEndedJobs(List<String> ids) {
        ids.forEach(this::closeJob);
        dependencies.resolveEndedDependencies();
        listener.jobsChanged();
    }

    /**
     * Closes jobs that were cancelled because a dependency was. Their outcomes need not be read: these jobs never ran,
     * so they can only have been cancelled.
     */
    private void closeCancelledDependents(Collection<String> ids) {
        for (String id : ids) {
            Job job = cluster.job(id);
            if (job != null) {
                closeJob(id);
                dependencies.resolveDependents(
                        id, JobRecord.open(job.spec()).cancelled(context.loop().wallTimeMs()));
            }
        }
    }

    /**
     * Records that a worker has reported the completion of the task, or ends the job if all of its tasks are done. The
     * worker may drop the completion only once this is durable.
     */
    public void taskCompleted(Job job, int task) {
        if (job.isDone()) {
            writeEnd(job);
        } else {
            completions.record(job, task);
        }
    }

    /**
     * Ends the open jobs whose tasks have all completed; must be called when the former leader's state has been loaded.
     * The last completion of a job and its end may be in different transactions, and the former leader may have crashed
     * between the two. Then no report completes a task of the job any more.
     */
    public void endCompletedJobs() {
        for (Job job : cluster.jobs()) {
            if (job.isDone()) {
                LOG.info(
                        "ending job that a former leader left open: job={} tasks={}",
                        job.id(),
                        job.spec().tasks());
                writeEnd(job);
            }
        }
    }

    private void writeEnd(Job job) {
        String id = job.id();
        writer.write("end " + id, () -> cluster.job(id) == job ? Optional.of(prepareEnd(job)) : Optional.empty());
    }

    /**
     * Prepares the end of a job that is done. The write requires the current version of the job's description, which a
     * cancellation deletes, so that a job can't be both done and cancelled.
     */
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
                closeJob(id);
                dependencies.resolveDependents(id, record);
                listener.completionsRecorded();
            }

            @Override
            public void conflicted() {
                // The job has been cancelled, or ended by a transaction whose reply was lost. The watch reports it too.
                closeJob(id);
                dependencies.resolveEndedDependencies();
                listener.completionsRecorded();
            }
        });
    }

    /** Rewrites the stored value in which completions of ended jobs take up the most space. */
    public void compact() {
        completions.compact();
    }
}

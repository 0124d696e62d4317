package notchpick.coordination.leader;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import notchpick.coordination.Deployment;
import notchpick.coordination.leader.allocation.ResourceAllocator;
import notchpick.coordination.leader.allocation.ResourceLeases;
import notchpick.coordination.leader.allocation.TaskLaunchLog;
import notchpick.coordination.leader.heartbeat.HeartbeatHandler;
import notchpick.coordination.leader.heartbeat.MachineHealthMonitor;
import notchpick.coordination.leader.heartbeat.TaskJournal;
import notchpick.coordination.leader.jobs.JobTracker;
import notchpick.coordination.leader.scaling.Autoscaler;
import notchpick.coordination.leader.term.LaunchGuard;
import notchpick.coordination.leader.term.LeaderAuthority;
import notchpick.coordination.leader.term.TermContext;
import notchpick.coordination.membership.ElectedTerm;
import notchpick.model.ClusterState;
import notchpick.model.Job;
import notchpick.model.Machine;
import notchpick.model.MachineTypeCatalog;
import notchpick.model.TaskAssignment;
import notchpick.protocol.WorkerProtocol.Heartbeat;
import notchpick.protocol.peer.Progress;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.Milliseconds;
import notchpick.scheduling.RuntimeEstimator;
import notchpick.storage.CommitmentsCodec;
import notchpick.storage.FencedWriter;
import notchpick.storage.KeyWrite;
import notchpick.storage.PreparedChange;
import notchpick.storage.StateKeys;
import notchpick.transport.Actor;
import notchpick.transport.HttpCaller.Response;

/**
 * The leader of one term, the only controller that sends commands to workers. This actor creates and connects the parts
 * of the leader and runs their periodic work. All parts run on this actor and end with it.
 */
public final class Leader extends Actor<Leader.Message> {
    /** A message to the leader actor. */
    public sealed interface Message {}

    /** The leader lease has been renewed and is held at least until {@code untilMs}. */
    public record LeaseRenewed(long untilMs) implements Message {}

    /** The term has ended. The leader refuses all pending heartbeats and stops. */
    public record TermEnded() implements Message {}

    /**
     * The current machine types. Recovery starts at the first such message, because it needs the sizes of the machines.
     */
    public record MachineTypesUpdated(List<MachineType> types) implements Message {}

    /**
     * A worker's heartbeat has arrived.
     *
     * @param relayed whether it came through another controller
     */
    public record HeartbeatReceived(Heartbeat heartbeat, Consumer<Response> reply, boolean relayed)
            implements Message {}

    /** Ends this controller's term as leader. */
    @FunctionalInterface
    public interface StepDownHandler {
        /** Ends the term, so that another controller may lead; the reason is for the log. */
        void stepDown(String reason);
    }

    /** How often the periodic work runs in a heartbeat period. */
    private static final int TICKS_PER_HEARTBEAT = 3;
    /**
     * Cancellations are read as often as the leader lease is renewed. If they were read less often, the last read could
     * become too old, and the leader would stop renewing worker leases before the grace period is over.
     */
    private static final int CANCELLATION_READS_PER_LEASE = 5;
    /** The leader's fraction of the write rate; the rest is left to users' submissions and cancellations. */
    private static final double WRITE_RATE_RATIO = 0.7;

    private final Deployment deployment;
    private final StepDownHandler stepDownHandler;
    private final long commitmentSaveMs;
    private final TermContext context;
    private final ClusterState cluster;
    private final LeaderAuthority authority;
    private final FencedWriter writer;
    private final ResourceLeases leases;
    private final ResourceAllocator allocator;
    private final Autoscaler autoscaler;
    private final JobTracker jobs;
    private final TaskLaunchLog launches;
    private final MachineHealthMonitor machineHealth;
    private final AllocationScheduler rounds;
    private final HeartbeatHandler heartbeats;
    private final LeaderRecovery recovery;
    private final ProcessPauseDetector pauses;
    private final WorkerLeaseMonitor workerLeases;
    private final ReclaimCheckpointer reclaims;
    private final Defragmenter defragmenter;
    private final StepDownPolicy stepDownPolicy;
    private boolean recoveryStarted;

    public Leader(LeaderEnvironment environment, ElectedTerm term, StepDownHandler stepDownHandler) {
        super(environment.loop());
        this.deployment = environment.deployment();
        this.stepDownHandler = stepDownHandler;
        this.commitmentSaveMs = (long) (environment.tuning().commitmentSaveS() * Milliseconds.PER_SECOND);
        long leaderLeaseMs = deployment.leaderLeaseMs(environment.tuning());
        double leaderLeaseS = leaderLeaseMs / Milliseconds.PER_SECOND;
        this.cluster = new ClusterState(this::assignmentEnded);
        this.context = context(term);
        this.authority = new LeaderAuthority(loop::nowMs, deployment, leaderLeaseS, term.leaseUntilMs());
        this.writer = writer(environment, term);
        this.autoscaler = new Autoscaler(context, environment.cloud(), writer, this::machineGone, this::reviewScaling);
        LaunchGuard launchGuard = new LaunchGuard(context, environment.launchCounters());
        this.leases = new ResourceLeases(
                context,
                environment.tuning(),
                environment.peers(),
                environment.peerClient(),
                launchGuard,
                new ResourceLeaseListener());
        this.allocator = new ResourceAllocator(context, environment.tuning(), leases);
        this.rounds = new AllocationScheduler(context, authority, allocator, this::replyToHeartbeats);
        this.jobs = jobTracker(environment, leaderLeaseMs / CANCELLATION_READS_PER_LEASE);
        this.launches = new TaskLaunchLog(context, writer, new LaunchListener());
        this.machineHealth = new MachineHealthMonitor(context);
        this.heartbeats = new HeartbeatHandler(context, authority, launchGuard, machineHealth, new Journal(), rounds);
        this.recovery =
                new LeaderRecovery(context, environment.stateStore(), writer, jobs, launches, autoscaler, allocator);
        this.pauses = new ProcessPauseDetector(context, tickMs());
        this.workerLeases = new WorkerLeaseMonitor(context, deployment.gracePeriodMs(leaderLeaseS));
        this.reclaims = new ReclaimCheckpointer(context);
        this.defragmenter = new Defragmenter(context, leases, autoscaler);
        this.stepDownPolicy = new StepDownPolicy(
                context, authority, environment.peers(), environment.links(), environment.stateStoreTransport());
        scheduleRepeatedly(
                stepDownPolicy.maxCancellationReadAgeMs(),
                () -> stepDownPolicy.reasonBeforeRecovery().ifPresent(stepDownHandler::stepDown));
    }

    private TermContext context(ElectedTerm term) {
        return new TermContext(
                term.number(),
                loop,
                this::schedule,
                deployment,
                cluster,
                new MachineTypeCatalog(),
                new RuntimeEstimator());
    }

    private FencedWriter writer(LeaderEnvironment environment, ElectedTerm term) {
        return new FencedWriter(
                environment.stateStore(),
                loop,
                this::schedule,
                term.keyVersion(),
                deployment.maxTransactionWrites(),
                WRITE_RATE_RATIO * deployment.stateStoreWritesPerS(),
                () -> stepDownHandler.stepDown("the leader key is gone"));
    }

    private JobTracker jobTracker(LeaderEnvironment environment, long watchMs) {
        return new JobTracker(
                context, environment.stateStore(), writer, authority, watchMs, this::expectedStageS, new JobListener());
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof LeaseRenewed renewed) {
            authority.extendLease(renewed.untilMs());
        } else if (message instanceof MachineTypesUpdated updated) {
            context.machineTypes().update(updated.types());
            if (!recoveryStarted) {
                recoveryStarted = true;
                recovery.start(this::recovered);
            }
        } else if (message instanceof HeartbeatReceived received) {
            stepDownPolicy.recordHeartbeat(received.heartbeat(), received.relayed());
            heartbeats.receive(received.heartbeat(), received.reply());
        } else if (message instanceof TermEnded) {
            heartbeats.refuseAll();
            stop();
        }
    }

    private void recovered(long openJobsRevision) {
        authority.markRecovered();
        log.info(
                "recovery completed: term={} openJobsRevision={} jobs={} machines={}",
                context.term(),
                openJobsRevision,
                cluster.jobs().size(),
                cluster.machines().size());
        jobs.watch(openJobsRevision);
        autoscaler.refreshInventory();
        scheduleRepeatedly(context.heartbeatPeriodMs(), autoscaler::refreshInventory);
        pauses.recordTick();
        scheduleRepeatedly(tickMs(), this::tick);
        scheduleRepeatedly(commitmentSaveMs, this::saveCommitments);
        tick();
    }

    private long tickMs() {
        return context.heartbeatPeriodMs() / TICKS_PER_HEARTBEAT;
    }

    private void tick() {
        long nowMs = context.nowMs();
        pauses.detectPause();
        pauses.recordTick();
        for (Machine machine : cluster.copyOfMachines()) {
            workerLeases.unassignIfExpired(machine, nowMs);
            reclaims.requestDueCheckpoints(machine);
            machineHealth.reviewSuspicion(machine, nowMs);
        }
        stepDownPolicy.reason(pauses.runningSinceMs()).ifPresent(stepDownHandler::stepDown);
        if (authority.hasLease()) {
            launches.compact();
            jobs.compact();
            reviewScaling();
            defragmenter.run(nowMs);
            rounds.request();
        }
    }

    private void reviewScaling() {
        if (authority.hasLease()) {
            pauses.detectPause();
            autoscaler.review(pauses.runningSinceMs());
        }
    }

    private void saveCommitments() {
        writer.write(StateKeys.COMMITMENTS, () -> {
            var value = CommitmentsCodec.encode(allocator.commitments(), deployment.maxValueBytes());
            return Optional.of(new PreparedChange(List.of(KeyWrite.put(StateKeys.COMMITMENTS, value)), () -> {}));
        });
    }

    private void assignmentEnded(TaskAssignment assignment) {
        launches.drop(assignment);
    }

    private void replyToHeartbeats() {
        heartbeats.replyToReady();
    }

    private void machineGone(Machine machine) {
        machine.assignments()
                .forEach(assignment -> log.info(
                        "task lost: task={} machine={} zone={} reason=\"machine released\"",
                        assignment.taskName(),
                        machine.name(),
                        machine.zone()));
        cluster.unassignAll(machine);
        heartbeats.refuse(machine);
        rounds.request();
    }

    /**
     * A job's expected duration: its run time, the wait for the heartbeat whose reply carries the launch command, and
     * the fetch of its image.
     */
    private double expectedStageS(JobSpec spec) {
        return context.runtimes().runS(spec)
                + deployment.heartbeatPeriodS() / 2
                + context.machineTypes().fetchS(spec.imageGb());
    }

    private final class ResourceLeaseListener implements ResourceLeases.Listener {
        @Override
        public void taskPlaced(TaskAssignment assignment) {
            launches.record(assignment);
        }

        @Override
        public void resourcesReturned() {
            rounds.request();
        }
    }

    private final class JobListener implements JobTracker.Listener {
        @Override
        public void jobsChanged() {
            rounds.request();
        }

        @Override
        public void completionsRecorded() {
            heartbeats.replyToReady();
        }
    }

    private final class LaunchListener implements TaskLaunchLog.Listener {
        @Override
        public void launchesRecorded(Machine machine) {
            heartbeats.reply(machine);
        }

        @Override
        public void jobsFoundEnded(List<String> ids) {
            jobs.closeEndedJobs(ids);
        }
    }

    private final class Journal implements TaskJournal {
        @Override
        public void recordCompletion(Job job, int task) {
            jobs.taskCompleted(job, task);
        }

        @Override
        public void recordAdoption(TaskAssignment assignment) {
            launches.record(assignment);
        }
    }

    /** The task counts of open jobs with running or completed tasks, for display; empty before recovery. */
    public List<Progress> progress() {
        if (!authority.hasRecovered()) {
            return List.of();
        }
        return cluster.jobs().stream()
                .filter(job -> job.runningTasks() > 0 || job.doneTasks() > 0)
                .map(Leader::progress)
                .toList();
    }

    /** The task counts of one job, for display; null if the job is not open or recovery is not complete. */
    public Progress progress(String id) {
        Job job = authority.hasRecovered() ? cluster.job(id) : null;
        return job == null ? null : progress(job);
    }

    private static Progress progress(Job job) {
        return new Progress(job.id(), job.doneTasks(), job.runningTasks());
    }
}

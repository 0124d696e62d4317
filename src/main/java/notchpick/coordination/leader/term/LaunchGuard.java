package notchpick.coordination.leader.term;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import notchpick.coordination.Deployment.Quota;
import notchpick.model.ClusterState;
import notchpick.model.Job;
import notchpick.model.Machine;
import notchpick.model.TaskAssignment;
import notchpick.model.TaskAssignment.Phase;
import notchpick.protocol.WorkerProtocol.StartTask;
import notchpick.scheduling.JobSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides whether a task may be launched on a machine; no other class decides this. It is asked at the placement, and
 * again when the start command is due, because meanwhile other tasks of the job may have been found or lost.
 */
public final class LaunchGuard {
    /** Why a launch is not permitted. */
    public enum Refusal {
        /** The job has ended, or waits for its dependencies. */
        JOB_NOT_READY,
        TASK_DONE,
        /** The release of the machine may have been requested. */
        MACHINE_RELEASED,
        /** The job does not allow the machine's type, zone or kind. */
        MACHINE_NOT_ALLOWED,
        /** Another task of the job is, or may be, in a zone that excludes this one. */
        ZONE_EXCLUDED,
        QUOTA_EXCEEDED
    }

    private static final Logger LOG = LoggerFactory.getLogger(LaunchGuard.class);

    private final TermContext context;
    private final ClusterState cluster;
    private final LaunchCounters counters;

    public LaunchGuard(TermContext context, LaunchCounters counters) {
        this.context = context;
        this.cluster = context.cluster();
        this.counters = counters;
    }

    /** Why a pending task of the job may not be placed on the machine; empty if it may. */
    public Optional<Refusal> refusalOfPlacement(Job job, Machine machine) {
        JobSpec spec = job.spec();
        if (job.isBlocked()) {
            return Optional.of(Refusal.JOB_NOT_READY);
        }
        if (!isWithinQuota(spec, true)) {
            return Optional.of(Refusal.QUOTA_EXCEEDED);
        }
        Map<String, Integer> others = spec.hasZoneConstraint() ? cluster.tasksByZone(spec.id()) : Map.of();
        return refusalOfPlace(spec, machine, others);
    }

    /** Why the start command of an assigned task may not be sent now; empty if it may. */
    public Optional<Refusal> refusalOfStart(TaskAssignment assignment) {
        Job job = cluster.job(assignment.spec().id());
        if (job == null || job.isBlocked()) {
            return Optional.of(Refusal.JOB_NOT_READY);
        }
        if (job.isTaskDone(assignment.task())) {
            return Optional.of(Refusal.TASK_DONE);
        }
        if (!isWithinQuota(job.spec(), false)) {
            return Optional.of(Refusal.QUOTA_EXCEEDED);
        }
        return refusalOfPlace(job.spec(), assignment.machine(), otherTasksByZone(assignment));
    }

    /**
     * Ends an assignment whose start command may not be sent any more. The task has never been on a worker; its next
     * placement has another attempt number.
     */
    public void withdraw(TaskAssignment assignment, Refusal refusal) {
        if (assignment.canBeOnWorker()) {
            throw new IllegalStateException("task " + assignment.taskName() + " may be on its worker");
        }
        counters.countWithdrawn();
        LOG.info(
                "launch withdrawn: task={} attempt={} {} reason={} term={} withdrawn={}",
                assignment.taskName(),
                assignment.attempt(),
                describe(assignment),
                refusal,
                context.term(),
                counters.withdrawn());
        cluster.unassign(assignment);
    }

    /** Logs the zones of the other tasks with which a permitted start was judged, if the job restricts zones. */
    public void logZones(TaskAssignment assignment) {
        if (assignment.spec().hasZoneConstraint()) {
            LOG.info(
                    "launch permitted: task={} attempt={} {} term={}",
                    assignment.taskName(),
                    assignment.attempt(),
                    describe(assignment),
                    context.term());
        }
    }

    /**
     * Asserts, just before a start command is sent, that it is recorded as sent and permitted. Returns false, and logs
     * an error, if it must be withheld.
     */
    public boolean verifyStart(Machine machine, StartTask command) {
        TaskAssignment assignment = machine.assignment(command.task());
        if (assignment == null || assignment.attempt() != command.attempt() || assignment.phase() != Phase.SENT) {
            counters.countViolation();
            LOG.error(
                    "start withheld: task={} attempt={} machine={} reason=\"no launch is due\" term={}",
                    command.task(),
                    command.attempt(),
                    machine.name(),
                    context.term());
            return false;
        }
        Optional<Refusal> refusal = refusalOfStart(assignment);
        if (refusal.isPresent()) {
            counters.countViolation();
            Job job = cluster.job(assignment.spec().id());
            LOG.error(
                    "start withheld: task={} attempt={} {} reason={} term={} jobRevision={}",
                    command.task(),
                    command.attempt(),
                    describe(assignment),
                    refusal.get(),
                    context.term(),
                    job == null ? 0 : job.version());
        }
        return refusal.isEmpty();
    }

    private String describe(TaskAssignment assignment) {
        Machine machine = assignment.machine();
        return "machine=" + machine.name() + " type=" + machine.type() + " zone=" + machine.zone() + " spot="
                + machine.isSpot() + " otherTasksByZone=" + otherTasksByZone(assignment);
    }

    private boolean isWithinQuota(JobSpec spec, boolean withOneMoreTask) {
        Quota quota = context.deployment().quota(spec.team());
        return quota != null
                && quota.allows(
                        withOneMoreTask ? cluster.usage(spec.team()).plus(spec.demand()) : cluster.usage(spec.team()));
    }

    private static Optional<Refusal> refusalOfPlace(JobSpec spec, Machine machine, Map<String, Integer> otherTasks) {
        if (machine.state() == Machine.State.RELEASED) {
            return Optional.of(Refusal.MACHINE_RELEASED);
        }
        if (!spec.allows(machine.type(), machine.zone(), machine.isSpot())) {
            return Optional.of(Refusal.MACHINE_NOT_ALLOWED);
        }
        return spec.allowsZoneAmongTasks(machine.zone(), otherTasks)
                ? Optional.empty()
                : Optional.of(Refusal.ZONE_EXCLUDED);
    }

    /**
     * The zones of the job's other tasks that are, or may be, on a worker. Other launches whose command has not been
     * sent don't count: they are decided by their own commands, and two of them must not exclude each other.
     */
    private Map<String, Integer> otherTasksByZone(TaskAssignment assignment) {
        if (!assignment.spec().hasZoneConstraint()) {
            return Map.of();
        }
        Map<String, Integer> zones = new HashMap<>();
        for (TaskAssignment other : cluster.assignmentsOf(assignment.spec().id())) {
            if (other != assignment && other.canBeOnWorker()) {
                zones.merge(other.machine().zone(), 1, Integer::sum);
            }
        }
        return zones;
    }
}

package notchpick.coordination.leader.heartbeat;

import java.util.HashSet;
import java.util.Set;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.ClusterState;
import notchpick.model.Job;
import notchpick.model.Machine;
import notchpick.model.TaskAssignment;
import notchpick.model.TaskAssignment.Phase;
import notchpick.protocol.WorkerProtocol.ExitReason;
import notchpick.protocol.WorkerProtocol.Heartbeat;
import notchpick.protocol.WorkerProtocol.TaskPhase;
import notchpick.protocol.WorkerProtocol.TaskStatus;
import notchpick.scheduling.Milliseconds;
import notchpick.scheduling.RuntimeEstimator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Brings a machine's assignments in line with its heartbeat. */
final class HeartbeatReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatReconciler.class);

    private final ClusterState cluster;
    private final RuntimeEstimator runtimes;
    private final long heartbeatPeriodMs;
    private final MachineHealthMonitor health;
    private final TaskJournal journal;

    HeartbeatReconciler(TermContext context, MachineHealthMonitor health, TaskJournal journal) {
        this.cluster = context.cluster();
        this.runtimes = context.runtimes();
        this.heartbeatPeriodMs = context.heartbeatPeriodMs();
        this.health = health;
        this.journal = journal;
    }

    /** Takes the heartbeat in; true if anything ended, is new, or may be scheduled now. */
    boolean reconcile(Machine machine, Heartbeat heartbeat, long now) {
        boolean changed = !machine.hasReported();
        changed |= endFormerIncarnation(machine, heartbeat);
        machine.recordHeartbeat(heartbeat.incarnation(), heartbeat.sequence(), heartbeat.reclaimNoticeS(), now);
        Set<TaskAssignment> present = new HashSet<>();
        for (TaskStatus status : heartbeat.tasks()) {
            if (status.phase() == TaskPhase.EXITED) {
                changed |= taskExited(machine, status, now);
            } else {
                TaskAssignment assignment = confirm(machine, status);
                if (assignment != null) {
                    present.add(assignment);
                    updateProgress(assignment, status.phase(), now);
                }
            }
        }
        changed |= dropAbsent(machine, present, now);
        if (!machine.isReconciled()) {
            machine.setReconciled(true);
            changed = true;
        }
        if (changed && machine.isIdle()) {
            machine.markIdle(now);
        }
        return changed;
    }

    /** A new incarnation begins when the worker's lease has expired: all that was there has been killed. */
    private boolean endFormerIncarnation(Machine machine, Heartbeat heartbeat) {
        if (!machine.hasReported() || heartbeat.incarnation() <= machine.incarnation()) {
            return false;
        }
        LOG.info(
                "worker lease expired: machine={} incarnation={} tasks={}",
                machine.name(),
                heartbeat.incarnation(),
                machine.assignments().size());
        for (TaskAssignment assignment : machine.copyOfAssignments()) {
            if (assignment.phase() == Phase.SENT || assignment.phase() == Phase.REPORTED) {
                cluster.unassign(assignment);
            }
        }
        return true;
    }

    private boolean taskExited(Machine machine, TaskStatus status, long now) {
        boolean changed = false;
        TaskAssignment assignment = machine.assignment(status.name());
        if (assignment != null && assignment.attempt() == status.attempt() && assignment.canBeOnWorker()) {
            attemptEnded(assignment, status.exit(), now);
            changed = true;
        }
        Job job = cluster.job(status.job());
        if (status.exit() == ExitReason.DONE && job != null && job.complete(status.task())) {
            machine.health().recordTaskSuccess();
            journal.taskCompleted(job, status.task());
            changed = true;
        }
        return changed;
    }

    private void attemptEnded(TaskAssignment assignment, ExitReason exit, long now) {
        cluster.unassign(assignment);
        switch (exit) {
            case DONE -> {
                if (assignment.isRunning()) {
                    runtimes.observe(assignment.spec(), (now - assignment.runningSinceMs()) / Milliseconds.PER_SECOND);
                }
            }
            case STOPPED -> {}
            case ERROR -> health.taskFailed(assignment, now);
            case FULL, IN_USE -> assignment.machine().health().quarantine(now + heartbeatPeriodMs);
            case UNKNOWN -> {
                Job job = cluster.job(assignment.spec().id());
                if (job != null) {
                    job.backOffUntil(now + heartbeatPeriodMs);
                }
            }
        }
    }

    /** The assignment that a reported live task stands for, made if need be; null if the task must be stopped. */
    private TaskAssignment confirm(Machine machine, TaskStatus status) {
        TaskAssignment assignment = machine.assignment(status.name());
        if (assignment == null) {
            return adopt(machine, status);
        }
        boolean isOtherAttempt = assignment.attempt() != status.attempt();
        if ((isOtherAttempt && assignment.phase() != Phase.INHERITED) || !assignment.canBeOnWorker()) {
            return null;
        }
        if (assignment.phase() == Phase.SENT) {
            machine.health().recordReceivedReply();
        }
        assignment.markReported(status.attempt());
        return assignment;
    }

    private TaskAssignment adopt(Machine machine, TaskStatus status) {
        Job job = cluster.job(status.job());
        if (job == null || !job.canAdopt(status.task())) {
            return null;
        }
        TaskAssignment adopted = cluster.assign(job.spec(), status.task(), machine, status.attempt(), Phase.REPORTED);
        journal.taskAdopted(adopted);
        return adopted;
    }

    private void updateProgress(TaskAssignment assignment, TaskPhase phase, long now) {
        if (phase != TaskPhase.FETCHING && !assignment.isRunning()) {
            cluster.markRunning(assignment, now);
        }
        assignment.setCheckpointing(phase == TaskPhase.CHECKPOINTING);
    }

    /** What the heartbeat does not name is gone, as far as this can be certain. */
    private boolean dropAbsent(Machine machine, Set<TaskAssignment> present, long now) {
        if (present.size() >= machine.assignments().size()) {
            return false;
        }
        if (hasMissedCommand(machine, present)) {
            machine.health().recordMissedReply(now, heartbeatPeriodMs);
        }
        boolean dropped = false;
        for (TaskAssignment assignment : machine.copyOfAssignments()) {
            // A launch command was executed before this heartbeat was made, or never will be; so with a former
            // leader's, as the worker has seen this term and drops what may still come of it.
            if (!present.contains(assignment) && assignment.canBeOnWorker()) {
                cluster.unassign(assignment);
                dropped = true;
            }
        }
        return dropped;
    }

    /**
     * Whether a command to launch a task was lost. A worker that carries one out names the task from then on, even if
     * it refuses it, until it is told to forget it.
     */
    private static boolean hasMissedCommand(Machine machine, Set<TaskAssignment> present) {
        return machine.assignments().stream()
                .anyMatch(assignment -> assignment.phase() == Phase.SENT && !present.contains(assignment));
    }
}

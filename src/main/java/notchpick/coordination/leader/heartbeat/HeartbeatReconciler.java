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

/** Updates a machine's assignments from its heartbeat. */
final class HeartbeatReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatReconciler.class);

    private final ClusterState cluster;
    private final RuntimeEstimator runtimes;
    private final long heartbeatPeriodMs;
    private final long term;
    private final MachineHealthMonitor health;
    private final TaskJournal journal;

    HeartbeatReconciler(TermContext context, MachineHealthMonitor health, TaskJournal journal) {
        this.cluster = context.cluster();
        this.runtimes = context.runtimes();
        this.heartbeatPeriodMs = context.heartbeatPeriodMs();
        this.term = context.term();
        this.health = health;
        this.journal = journal;
    }

    /**
     * Applies the heartbeat. Returns whether an allocation round may now place more tasks, because tasks have ended or
     * the machine may have become schedulable.
     */
    boolean reconcile(Machine machine, Heartbeat heartbeat, long nowMs) {
        boolean changed = !machine.hasReported();
        changed |= endFormerIncarnation(machine, heartbeat);
        machine.recordHeartbeat(heartbeat.incarnation(), heartbeat.sequence(), heartbeat.reclaimNoticeS(), nowMs);
        Set<TaskAssignment> present = new HashSet<>();
        for (TaskStatus status : heartbeat.tasks()) {
            if (status.phase() == TaskPhase.EXITED) {
                changed |= handleExit(machine, status, nowMs);
            } else {
                TaskAssignment assignment = confirmLiveTask(machine, status);
                if (assignment != null) {
                    present.add(assignment);
                    updateProgress(assignment, status.phase(), nowMs);
                }
            }
        }
        changed |= dropAbsent(machine, present, nowMs);
        if (!machine.isReconciled()) {
            machine.setReconciled(true);
            changed = true;
        }
        if (changed && machine.isIdle()) {
            machine.markIdle(nowMs);
        }
        return changed;
    }

    /**
     * Removes the assignments of a former incarnation. A new incarnation starts when the worker's lease expires; by
     * then, the worker has killed all its tasks.
     */
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

    private boolean handleExit(Machine machine, TaskStatus status, long nowMs) {
        boolean changed = false;
        TaskAssignment assignment = machine.assignment(status.name());
        if (assignment != null && assignment.attempt() == status.attempt() && assignment.canBeOnWorker()) {
            endAttempt(assignment, status.exit(), nowMs);
            changed = true;
        }
        Job job = cluster.job(status.job());
        if (status.exit() == ExitReason.DONE && job != null && job.complete(status.task())) {
            machine.health().recordTaskSuccess();
            journal.recordCompletion(job, status.task());
            changed = true;
        }
        return changed;
    }

    private void endAttempt(TaskAssignment assignment, ExitReason exit, long nowMs) {
        cluster.unassign(assignment);
        switch (exit) {
            case DONE -> {
                if (assignment.isRunning()) {
                    runtimes.observe(
                            assignment.spec(), (nowMs - assignment.runningSinceMs()) / Milliseconds.PER_SECOND);
                }
            }
            case STOPPED -> {}
            case ERROR -> health.recordTaskFailure(assignment, nowMs);
            case FULL, IN_USE -> assignment.machine().health().quarantine(nowMs + heartbeatPeriodMs);
            case UNKNOWN -> {
                Job job = cluster.job(assignment.spec().id());
                if (job != null) {
                    job.backOffUntil(nowMs + heartbeatPeriodMs);
                }
            }
        }
    }

    /** The assignment of a reported live task, created if needed; null if the task must be stopped. */
    private TaskAssignment confirmLiveTask(Machine machine, TaskStatus status) {
        TaskAssignment assignment = machine.assignment(status.name());
        if (assignment == null) {
            return adoptTask(machine, status);
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

    private TaskAssignment adoptTask(Machine machine, TaskStatus status) {
        Job job = cluster.job(status.job());
        if (job == null || !job.canAdopt(status.task())) {
            return null;
        }
        TaskAssignment adopted = cluster.assign(job.spec(), status.task(), machine, status.attempt(), Phase.REPORTED);
        LOG.info(
                "task adopted: task={} attempt={} machine={} zone={} incarnation={} sequence={} term={}",
                adopted.taskName(),
                adopted.attempt(),
                machine.name(),
                machine.zone(),
                machine.incarnation(),
                machine.sequence(),
                term);
        journal.recordAdoption(adopted);
        return adopted;
    }

    private void updateProgress(TaskAssignment assignment, TaskPhase phase, long nowMs) {
        if (phase != TaskPhase.FETCHING && !assignment.isRunning()) {
            cluster.markRunning(assignment, nowMs);
        }
        assignment.setCheckpointing(phase == TaskPhase.CHECKPOINTING);
    }

    /** Removes the assignments that the heartbeat does not list and whose tasks can't be on the worker any more. */
    private boolean dropAbsent(Machine machine, Set<TaskAssignment> present, long nowMs) {
        if (present.size() >= machine.assignments().size()) {
            return false;
        }
        if (hasMissedCommand(machine, present)) {
            machine.health().recordMissedReply(nowMs, heartbeatPeriodMs);
        }
        boolean dropped = false;
        for (TaskAssignment assignment : machine.copyOfAssignments()) {
            // The worker either executed the launch command before it made this heartbeat or will never execute it.
            // This also holds for a former leader's command: the worker has seen this term and drops commands of
            // earlier terms.
            if (!present.contains(assignment) && assignment.canBeOnWorker()) {
                LOG.info(
                        "task not on its worker: task={} attempt={} machine={} zone={} phase={} sequence={} term={}",
                        assignment.taskName(),
                        assignment.attempt(),
                        machine.name(),
                        machine.zone(),
                        assignment.phase(),
                        machine.sequence(),
                        term);
                cluster.unassign(assignment);
                dropped = true;
            }
        }
        return dropped;
    }

    /**
     * Whether a launch command was lost. A worker that received one lists the task in every heartbeat, even if it
     * refused the launch, until a command makes it forget the task.
     */
    private static boolean hasMissedCommand(Machine machine, Set<TaskAssignment> present) {
        return machine.assignments().stream()
                .anyMatch(assignment -> assignment.phase() == Phase.SENT && !present.contains(assignment));
    }
}

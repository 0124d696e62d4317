package notchpick.coordination.leader.heartbeat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import notchpick.coordination.leader.heartbeat.HeartbeatHandler.AllocationRounds;
import notchpick.coordination.leader.term.LaunchGuard;
import notchpick.coordination.leader.term.LaunchGuard.Refusal;
import notchpick.coordination.leader.term.LeaderAuthority;
import notchpick.model.ClusterState;
import notchpick.model.Job;
import notchpick.model.Machine;
import notchpick.model.TaskAssignment;
import notchpick.model.TaskAssignment.Phase;
import notchpick.protocol.WorkerProtocol.ExitReason;
import notchpick.protocol.WorkerProtocol.ForgetTask;
import notchpick.protocol.WorkerProtocol.StartTask;
import notchpick.protocol.WorkerProtocol.StopTask;
import notchpick.protocol.WorkerProtocol.TaskCommand;
import notchpick.protocol.WorkerProtocol.TaskPhase;
import notchpick.protocol.WorkerProtocol.TaskStatus;

/** Decides which commands a worker receives in the reply to its heartbeat. */
final class CommandPlanner {
    private final ClusterState cluster;
    private final LeaderAuthority authority;
    private final LaunchGuard launchGuard;
    private final AllocationRounds rounds;

    CommandPlanner(ClusterState cluster, LeaderAuthority authority, LaunchGuard launchGuard, AllocationRounds rounds) {
        this.cluster = cluster;
        this.authority = authority;
        this.launchGuard = launchGuard;
        this.rounds = rounds;
    }

    /**
     * Returns the commands that are due on the machine, and marks the launches among them as sent. Launches that are
     * not permitted any more are withdrawn.
     *
     * @param reported the tasks in the heartbeat that the reply belongs to
     */
    List<TaskCommand> planCommands(Machine machine, List<TaskStatus> reported) {
        List<TaskCommand> commands = new ArrayList<>();
        // With an expired leader lease the reply may only renew the worker's lease.
        if (!authority.hasLease()) {
            return commands;
        }
        for (TaskStatus status : reported) {
            if (status.phase() == TaskPhase.EXITED) {
                if (canForget(status)) {
                    commands.add(new ForgetTask(status.name(), status.attempt()));
                }
            } else {
                addStop(machine, status, commands);
            }
        }
        if (authority.canLaunchTasks()) {
            addLaunches(machine, commands);
        }
        return commands;
    }

    private void addStop(Machine machine, TaskStatus status, List<TaskCommand> commands) {
        TaskAssignment assignment = machine.assignment(status.name());
        if (assignment == null
                || assignment.attempt() != status.attempt()
                // The job was cancelled while there was no leader: the launch record exists, but the job is no longer
                // open.
                || !cluster.isOpen(status.job())) {
            commands.add(new StopTask(status.name(), status.attempt(), 0));
        } else if (assignment.isStopRequested() && !(assignment.isCheckpointing() && assignment.stopGraceS() > 0)) {
            commands.add(new StopTask(status.name(), status.attempt(), assignment.stopGraceS()));
        }
    }

    private void addLaunches(Machine machine, List<TaskCommand> commands) {
        List<TaskAssignment> due = machine.assignments().stream()
                .filter(assignment -> assignment.phase() == Phase.DURABLE)
                .toList();
        for (TaskAssignment assignment : due) {
            Optional<Refusal> refusal = launchGuard.refusalOfStart(assignment);
            if (refusal.isPresent()) {
                launchGuard.withdraw(assignment, refusal.get());
                rounds.request();
            } else {
                launchGuard.logZones(assignment);
                assignment.markLaunchSent();
                commands.add(new StartTask(assignment.taskName(), assignment.attempt()));
            }
        }
    }

    /**
     * The stop commands for a worker whose heartbeat is not accepted yet. They don't wait for an accepted
     * heartbeat, because with frequent leader changes no leader might keep its term long enough to accept one.
     */
    List<TaskCommand> stopsOfEndedJobs(List<TaskStatus> reported) {
        List<TaskCommand> stops = new ArrayList<>();
        for (TaskStatus status : reported) {
            if (isLiveTaskOfEndedJob(status)) {
                stops.add(new StopTask(status.name(), status.attempt(), 0));
            }
        }
        return stops;
    }

    /** Whether the worker may forget an exited task; a completed task only once its completion is durable. */
    boolean canForget(TaskStatus status) {
        Job job = cluster.job(status.job());
        return status.exit() != ExitReason.DONE || job == null || job.canForgetCompletion(status.task());
    }

    /**
     * Whether the worker's lease must not be renewed without a stop command, because the job of one of its live tasks
     * ended too long ago.
     */
    boolean isRenewalForbidden(Machine machine, List<TaskStatus> reported) {
        for (TaskStatus status : reported) {
            TaskAssignment assignment = machine.assignment(status.name());
            if (isLiveTaskOfEndedJob(status)
                    && (assignment == null || !authority.canRenewDespiteEndedJob(assignment.jobOpenUntilMs()))) {
                return true;
            }
        }
        return false;
    }

    private boolean isLiveTaskOfEndedJob(TaskStatus status) {
        return status.phase() != TaskPhase.EXITED && !cluster.isOpen(status.job());
    }
}

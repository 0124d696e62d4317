package notchpick.coordination.leader.heartbeat;

import java.util.ArrayList;
import java.util.List;
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

/** Decides which commands a worker gets with the reply to its heartbeat. */
final class CommandPlanner {
    private final ClusterState cluster;
    private final LeaderAuthority authority;

    CommandPlanner(ClusterState cluster, LeaderAuthority authority) {
        this.cluster = cluster;
        this.authority = authority;
    }

    /** The commands that are due on the machine, whose heartbeat named these tasks. Launches count as sent. */
    List<TaskCommand> commands(Machine machine, List<TaskStatus> reported) {
        List<TaskCommand> commands = new ArrayList<>();
        // A leader lease that has expired permits nothing but keeping the worker alive.
        if (!authority.holdsLease()) {
            return commands;
        }
        for (TaskStatus status : reported) {
            if (status.phase() == TaskPhase.EXITED) {
                if (mayForget(status)) {
                    commands.add(new ForgetTask(status.name(), status.attempt()));
                }
            } else {
                addStop(machine, status, commands);
            }
        }
        if (authority.mayLaunchTasks()) {
            addLaunches(machine, commands);
        }
        return commands;
    }

    private void addStop(Machine machine, TaskStatus status, List<TaskCommand> commands) {
        TaskAssignment assignment = machine.assignment(status.name());
        if (assignment == null
                || assignment.attempt() != status.attempt()
                // Cancelled while nobody led: its launch record was read, its job was not open any more.
                || !cluster.isOpen(status.job())) {
            commands.add(new StopTask(status.name(), status.attempt(), 0));
        } else if (assignment.isStopRequested() && !(assignment.isCheckpointing() && assignment.stopGraceS() > 0)) {
            commands.add(new StopTask(status.name(), status.attempt(), assignment.stopGraceS()));
        }
    }

    private static void addLaunches(Machine machine, List<TaskCommand> commands) {
        for (TaskAssignment assignment : machine.assignments()) {
            if (assignment.phase() == Phase.DURABLE) {
                assignment.markLaunchSent();
                commands.add(new StartTask(assignment.taskName(), assignment.attempt()));
            }
        }
    }

    /**
     * The stop commands for a worker whose heartbeat does not count yet. What must stop is told at once, lest leaders
     * that change often never get to it.
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

    /** A completed task's worker may forget it only when the state store has the completion. */
    boolean mayForget(TaskStatus status) {
        Job job = cluster.job(status.job());
        return status.exit() != ExitReason.DONE || job == null || job.canForgetCompletion(status.task());
    }

    /** Whether a task's job ended so long ago that the worker's lease must not be renewed without a stop command. */
    boolean mustExpire(Machine machine, List<TaskStatus> reported) {
        for (TaskStatus status : reported) {
            TaskAssignment assignment = machine.assignment(status.name());
            if (isLiveTaskOfEndedJob(status)
                    && (assignment == null || !authority.mayRenewDespiteEndedJob(assignment.jobOpenUntilMs()))) {
                return true;
            }
        }
        return false;
    }

    private boolean isLiveTaskOfEndedJob(TaskStatus status) {
        return status.phase() != TaskPhase.EXITED && !cluster.isOpen(status.job());
    }
}

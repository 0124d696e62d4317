package notchpick.coordination.leader;

import notchpick.coordination.leader.term.TermContext;
import notchpick.model.Machine;
import notchpick.model.TaskAssignment;

/** Requests checkpoints from tasks before the cloud reclaims their spot machine. */
final class ReclaimCheckpointer {
    /** The command reaches the worker within this many heartbeat periods. */
    private static final int COMMAND_DELIVERY_PERIODS = 2;

    private final double marginS;

    ReclaimCheckpointer(TermContext context) {
        this.marginS = COMMAND_DELIVERY_PERIODS * context.deployment().heartbeatPeriodS();
    }

    /** Requests a checkpoint and stop from each task on the machine, as late as its checkpoint write time allows. */
    void requestDueCheckpoints(Machine machine) {
        if (machine.reclaimNoticeS() == null) {
            return;
        }
        for (TaskAssignment assignment : machine.assignments()) {
            double writeS = assignment.spec().checkpointWriteS();
            if (assignment.spec().checkpointIntervalS() > 0
                    && assignment.isRunning()
                    && !assignment.isStopRequested()
                    && machine.reclaimNoticeS() < writeS + marginS) {
                assignment.requestCheckpointAndStop();
            }
        }
    }
}

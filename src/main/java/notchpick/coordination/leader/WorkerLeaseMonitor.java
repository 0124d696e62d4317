package notchpick.coordination.leader;

import notchpick.coordination.leader.term.TermContext;
import notchpick.model.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Unassigns the tasks of machines whose worker lease is certain to have expired. */
final class WorkerLeaseMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(WorkerLeaseMonitor.class);

    private final TermContext context;
    private final long gracePeriodMs;
    private final long leaseSafelyExpiredMs;

    /** @param gracePeriodMs how long a former leader may have renewed worker leases after its own lease expired */
    WorkerLeaseMonitor(TermContext context, long gracePeriodMs) {
        this.context = context;
        this.gracePeriodMs = gracePeriodMs;
        this.leaseSafelyExpiredMs = context.deployment().workerLeaseSafelyExpiredMs();
    }

    /** Unassigns the machine's tasks if its worker is certain to have killed them. */
    void unassignIfExpired(Machine machine, long nowMs) {
        // Until the machine is reconciled, a former leader may have renewed the worker's lease in the grace period.
        long lastRenewedAtMs = machine.lastHeartbeatAtMs() + (machine.isReconciled() ? 0 : gracePeriodMs);
        if (machine.state() == Machine.State.PROVISIONING || nowMs - lastRenewedAtMs <= leaseSafelyExpiredMs) {
            return;
        }
        machine.assignments()
                .forEach(assignment -> LOG.info(
                        "task lost: task={} machine={} reason=\"worker lease expired\"",
                        assignment.taskName(),
                        machine.name()));
        context.cluster().unassignAll(machine);
        machine.setReconciled(false);
    }
}

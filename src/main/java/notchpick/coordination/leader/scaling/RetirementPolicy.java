package notchpick.coordination.leader.scaling;

import notchpick.coordination.leader.term.TermContext;
import notchpick.model.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decides which machines are released: idle ones that nothing needs, drained ones, and silent ones. */
final class RetirementPolicy {
    private static final Logger LOG = LoggerFactory.getLogger(RetirementPolicy.class);
    /** A silent machine in a zone that is not silent counts as lost after this fraction of the worker lease. */
    private static final double LOST_LEASE_RATIO = 0.5;
    /** An idle on-demand machine is kept for this many heartbeat periods. */
    private static final int ON_DEMAND_IDLE_PERIODS = 2;

    private final ProvisioningMonitor provisioning;
    private final long workerLeaseMs;
    private final long heartbeatPeriodMs;

    RetirementPolicy(TermContext context, ProvisioningMonitor provisioning) {
        this.provisioning = provisioning;
        this.workerLeaseMs = context.deployment().workerLeaseMs();
        this.heartbeatPeriodMs = context.heartbeatPeriodMs();
    }

    /**
     * Whether the machine should be released now.
     *
     * @param isUnneeded whether the demand can be met without it
     * @param silentMs how long it has been silent
     * @param isZoneSilent whether most machines of its zone, or of all zones, are silent as well
     */
    boolean isDueForRelease(Machine machine, boolean isUnneeded, long silentMs, boolean isZoneSilent, long nowMs) {
        return switch (machine.state()) {
            case PROVISIONING, RELEASED -> false;
            case READY ->
                (machine.isIdle() && isUnneeded && nowMs - machine.idleSinceMs() > maxIdleMs(machine))
                        || isLost(machine, silentMs, isZoneSilent);
            case DRAINING -> machine.isIdle() || silentMs > lostAfterMs();
        };
    }

    private boolean isLost(Machine machine, long silentMs, boolean isZoneSilent) {
        boolean isLost = silentMs > (isZoneSilent ? maxSilentMs(machine) : lostAfterMs());
        if (isLost) {
            LOG.warn("machine lost: machine={} zone={} silentMs={}", machine.name(), machine.zone(), silentMs);
        }
        return isLost;
    }

    private double lostAfterMs() {
        return workerLeaseMs * LOST_LEASE_RATIO;
    }

    /**
     * How long a machine that is silent together with its zone is kept: until keeping it has cost as much as replacing
     * it. Its tasks may go on running for the worker lease, and a replacement would first have to boot.
     */
    private double maxSilentMs(Machine machine) {
        return workerLeaseMs + provisioning.expectedBootMs(machine.type());
    }

    /** An idle spot machine is kept for as long as a replacement would take to boot, an on-demand one only briefly. */
    private double maxIdleMs(Machine machine) {
        return machine.isSpot() || provisioning.isLate(machine.pool())
                ? provisioning.expectedBootMs(machine.type())
                : ON_DEMAND_IDLE_PERIODS * heartbeatPeriodMs;
    }
}

package notchpick.coordination.leader.scaling;

import notchpick.coordination.leader.term.TermContext;
import notchpick.model.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decides which machines are released: idle ones that nothing needs, drained ones, and silent ones. */
final class RetirementPolicy {
    private static final Logger LOG = LoggerFactory.getLogger(RetirementPolicy.class);
    /** A machine that is silent alone is released after this part of the worker lease. */
    private static final double LOST_LEASE_RATIO = 0.5;
    /** An idle on-demand machine is kept for so many heartbeat periods. */
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
     * Whether the machine is to be released.
     *
     * @param unneeded whether the demand can be met without it
     * @param silentMs how long it has been silent
     * @param zoneIsSilent whether most machines of its zone are silent as well
     */
    boolean mustRelease(Machine machine, boolean unneeded, long silentMs, boolean zoneIsSilent, long now) {
        return switch (machine.state()) {
            case PROVISIONING, RELEASED -> false;
            case READY ->
                (machine.isIdle() && unneeded && now - machine.idleSinceMs() > keepIdleMs(machine))
                        || isLost(machine, silentMs, zoneIsSilent);
            case DRAINING -> machine.isIdle() || silentMs > lostAfterMs();
        };
    }

    private boolean isLost(Machine machine, long silentMs, boolean zoneIsSilent) {
        boolean lost = silentMs > (zoneIsSilent ? keepSilentMs(machine) : lostAfterMs());
        if (lost) {
            LOG.warn("machine lost: machine={} zone={} silentMs={}", machine.name(), machine.zone(), silentMs);
        }
        return lost;
    }

    private double lostAfterMs() {
        return workerLeaseMs * LOST_LEASE_RATIO;
    }

    /**
     * Machines that fell silent with their zone are kept until keeping them has cost as much as replacing them: what
     * runs on them may go on for their lease, and others would first have to boot.
     */
    private double keepSilentMs(Machine machine) {
        return workerLeaseMs + provisioning.expectedBootMs(machine.type());
    }

    /** A spot machine is kept for as long as another would now take to boot; an on-demand one hardly at all. */
    private double keepIdleMs(Machine machine) {
        return machine.isSpot() || provisioning.isLate(machine.pool())
                ? provisioning.expectedBootMs(machine.type())
                : ON_DEMAND_IDLE_PERIODS * heartbeatPeriodMs;
    }
}

package notchpick.coordination.leader.allocation;

import java.util.Map;
import java.util.function.Predicate;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.ClusterState;
import notchpick.model.Job;
import notchpick.model.Machine;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.PlacementIndex;

/** Selects a machine for a job's next task. */
final class MachineSelector {
    /** For how many heartbeat periods a job avoids a machine on which one of its tasks failed. */
    private static final int FAILURE_AVOIDANCE_PERIODS = 20;

    private final ClusterState cluster;
    private final long heartbeatPeriodMs;

    MachineSelector(TermContext context) {
        this.cluster = context.cluster();
        this.heartbeatPeriodMs = context.heartbeatPeriodMs();
    }

    /** Returns the best machine for the job's next task, or null if there is none. */
    Machine select(
            Job job,
            TeamAllocation allocation,
            PlacementIndex<Machine> index,
            BackfillReservations reservations,
            long nowMs) {
        JobSpec spec = job.spec();
        // The avoidance is limited in time: if there are few machines, the job may have failed on the only one that
        // fits.
        long avoidanceMs = heartbeatPeriodMs * FAILURE_AVOIDANCE_PERIODS;
        Map<String, Integer> zones = spec.hasZoneConstraint() ? tasksByZone(job, allocation.lease()) : Map.of();
        Predicate<Machine> isEligible = machine -> spec.allowsZoneAmongTasks(machine.zone(), zones)
                && (machine.isSpot() || job.canUseOnDemand())
                && !machine.health().hasFailedWithin(spec.id(), nowMs, avoidanceMs)
                && reservations.canUse(allocation, machine);
        return spec.isUrgent()
                ? index.chooseSoonest(spec, isEligible, machine -> launchDelayMs(machine, nowMs))
                : index.choose(spec, isEligible);
    }

    /**
     * The time until a launch command can be sent to the machine. Commands are sent with replies to heartbeats, so it
     * is 0 while a heartbeat awaits its reply.
     */
    private long launchDelayMs(Machine machine, long nowMs) {
        return machine.isAwaitingReply() ? 0 : Math.max(1, machine.lastHeartbeatAtMs() + heartbeatPeriodMs - nowMs);
    }

    private Map<String, Integer> tasksByZone(Job job, ResourceLease lease) {
        Map<String, Integer> zones = cluster.tasksByZone(job.id());
        if (lease.covers(job)) {
            // The lease holder decides after the round which leased machine each task goes to, so each leased machine
            // counts as one task.
            lease.machines().forEach(machine -> zones.merge(machine.zone(), 1, Integer::sum));
        }
        return zones;
    }
}

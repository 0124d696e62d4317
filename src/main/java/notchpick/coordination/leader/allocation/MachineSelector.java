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
        Map<String, Integer> zones = tasksByZone(job, allocation.lease());
        Predicate<Machine> isEligible =
                machine -> eligibilityObstacle(job, machine, zones, nowMs) == PlacementObstacle.NONE
                        && reservations.canUse(allocation, machine);
        return spec.isUrgent()
                ? index.chooseSoonest(spec, isEligible, machine -> launchDelayMs(machine, nowMs))
                : index.choose(spec, isEligible);
    }

    /** What keeps the job's next task from the machine after a round; {@code NONE} if nothing does. */
    PlacementObstacle obstacle(
            Job job, TeamAllocation allocation, BackfillReservations reservations, Machine machine, long nowMs) {
        JobSpec spec = job.spec();
        if (!machine.isSchedulable(nowMs, heartbeatPeriodMs)) {
            return PlacementObstacle.MACHINE_UNAVAILABLE;
        }
        if (!spec.allows(machine.type(), machine.zone(), machine.isSpot())) {
            return PlacementObstacle.NOT_ALLOWED;
        }
        PlacementObstacle obstacle = eligibilityObstacle(job, machine, tasksByZone(job, allocation.lease()), nowMs);
        if (obstacle != PlacementObstacle.NONE) {
            return obstacle;
        }
        if (!spec.demand().fitsIn(machine.freeResources())) {
            return PlacementObstacle.FULL;
        }
        return reservations.isReserved(machine) ? PlacementObstacle.RESERVED : PlacementObstacle.NONE;
    }

    /** What keeps the job from an allowed machine, its free resources and reservations aside. */
    private PlacementObstacle eligibilityObstacle(Job job, Machine machine, Map<String, Integer> zones, long nowMs) {
        if (!machine.isSpot() && !job.canUseOnDemand()) {
            return PlacementObstacle.ON_DEMAND;
        }
        if (!job.spec().allowsZoneAmongTasks(machine.zone(), zones)) {
            return PlacementObstacle.ZONE_EXCLUDED;
        }
        // The avoidance is limited in time: if there are few machines, the job may have failed on the only one that
        // fits.
        long avoidanceMs = heartbeatPeriodMs * FAILURE_AVOIDANCE_PERIODS;
        return machine.health().hasFailedWithin(job.id(), nowMs, avoidanceMs)
                ? PlacementObstacle.TASK_FAILED_THERE
                : PlacementObstacle.NONE;
    }

    /**
     * The time until a launch command can be sent to the machine. Commands are sent with replies to heartbeats, so it
     * is 0 while a heartbeat awaits its reply.
     */
    private long launchDelayMs(Machine machine, long nowMs) {
        return machine.isAwaitingReply() ? 0 : Math.max(1, machine.lastHeartbeatAtMs() + heartbeatPeriodMs - nowMs);
    }

    /** The zones of the job's tasks that are placed or leased; empty if its constraints do not depend on them. */
    private Map<String, Integer> tasksByZone(Job job, ResourceLease lease) {
        if (!job.spec().hasZoneConstraint()) {
            return Map.of();
        }
        Map<String, Integer> zones = cluster.tasksByZone(job.id());
        if (lease.covers(job)) {
            // The lease holder decides after the round which leased machine each task goes to, so each leased machine
            // counts as one task.
            lease.machines().forEach(machine -> zones.merge(machine.zone(), 1, Integer::sum));
        }
        return zones;
    }
}

package notchpick.coordination.leader.allocation;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import notchpick.coordination.leader.term.OnDemandPolicy;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.ClusterState;
import notchpick.model.Job;
import notchpick.model.Machine;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.OnDemandAccess;
import notchpick.scheduling.PlacementIndex;

/** Selects machines for the next tasks of jobs during one round. */
final class MachineSelector {
    /** For how many heartbeat periods a job avoids a machine on which one of its tasks failed. */
    private static final int FAILURE_AVOIDANCE_PERIODS = 20;

    private final ClusterState cluster;
    private final OnDemandPolicy onDemand;
    private final long heartbeatPeriodMs;

    MachineSelector(TermContext context, OnDemandPolicy onDemand) {
        this.cluster = context.cluster();
        this.onDemand = onDemand;
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
        Predicate<Machine> isEligible =
                eligibility(job, allocation, nowMs).and(machine -> reservations.canUse(allocation, machine));
        return spec.isUrgent()
                ? index.chooseSoonest(spec, isEligible, machine -> launchDelayMs(machine, nowMs))
                : index.choose(spec, isEligible);
    }

    /** Which of the machines that the job's specification allows its next task may use once they have room. */
    Predicate<Machine> eligibility(Job job, TeamAllocation allocation, long nowMs) {
        Function<Machine, PlacementObstacle> obstacle = eligibilityObstacle(job, allocation, nowMs);
        return machine -> obstacle.apply(machine) == PlacementObstacle.NONE;
    }

    /** Counts the machines of the cluster by what keeps the job's next task from them after a round. */
    Map<PlacementObstacle, Integer> countObstacles(
            Job job, TeamAllocation allocation, BackfillReservations reservations, long nowMs) {
        Function<Machine, PlacementObstacle> eligibilityObstacle = eligibilityObstacle(job, allocation, nowMs);
        Map<PlacementObstacle, Integer> counts = new EnumMap<>(PlacementObstacle.class);
        for (Machine machine : cluster.machines()) {
            PlacementObstacle obstacle = resourceObstacle(job.spec(), machine, reservations, nowMs);
            counts.merge(
                    obstacle == PlacementObstacle.NONE ? eligibilityObstacle.apply(machine) : obstacle,
                    1,
                    Integer::sum);
        }
        return counts;
    }

    /** What keeps any job with this specification from the machine after a round. */
    private PlacementObstacle resourceObstacle(
            JobSpec spec, Machine machine, BackfillReservations reservations, long nowMs) {
        if (!machine.isSchedulable(nowMs, heartbeatPeriodMs)) {
            return PlacementObstacle.MACHINE_UNAVAILABLE;
        }
        if (!spec.allows(machine.type(), machine.zone(), machine.isSpot())) {
            return PlacementObstacle.NOT_ALLOWED;
        }
        if (!spec.demand().fitsIn(machine.freeResources())) {
            return PlacementObstacle.FULL;
        }
        return reservations.isReserved(machine) ? PlacementObstacle.RESERVED : PlacementObstacle.NONE;
    }

    /** What keeps the job from a machine that its specification allows, free resources and reservations aside. */
    private Function<Machine, PlacementObstacle> eligibilityObstacle(Job job, TeamAllocation allocation, long nowMs) {
        boolean isSpotOnly = onDemand.accessOf(job) == OnDemandAccess.NONE;
        Map<String, Integer> zones = tasksByZone(job, allocation.lease());
        // The avoidance is limited in time: if there are few machines, the job may have failed on the only one that
        // fits.
        long avoidanceMs = heartbeatPeriodMs * FAILURE_AVOIDANCE_PERIODS;
        return machine -> {
            if (isSpotOnly && !machine.isSpot()) {
                return PlacementObstacle.SPOT_PREFERRED;
            }
            if (!job.spec().allowsZoneAmongTasks(machine.zone(), zones)) {
                return PlacementObstacle.ZONE_EXCLUDED;
            }
            return machine.health().hasFailedWithin(job.id(), nowMs, avoidanceMs)
                    ? PlacementObstacle.TASK_FAILED_THERE
                    : PlacementObstacle.NONE;
        };
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

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
final class NodeSelector {
    /** A job stays away for so many heartbeat periods from a machine on which a task of it failed. */
    private static final int FAILURE_AVOIDANCE_PERIODS = 20;

    private final ClusterState cluster;
    private final long heartbeatPeriodMs;

    NodeSelector(TermContext context) {
        this.cluster = context.cluster();
        this.heartbeatPeriodMs = context.heartbeatPeriodMs();
    }

    /** The best machine for the job's next task, or null if there is none. */
    Machine select(Job job, TeamTurn turn, PlacementIndex<Machine> index, BackfillReservations reservations, long now) {
        JobSpec spec = job.spec();
        // Not forever: where machines are few, the only one that fits may have failed it once.
        long avoidanceMs = heartbeatPeriodMs * FAILURE_AVOIDANCE_PERIODS;
        Map<String, Integer> zones = spec.hasZoneConstraint() ? tasksByZone(job, turn.lease()) : Map.of();
        Predicate<Machine> admits = machine -> spec.allowsZoneAmongTasks(machine.zone(), zones)
                && (machine.isSpot() || job.canUseOnDemand())
                && !machine.health().hasFailedWithin(spec.id(), now, avoidanceMs)
                && reservations.mayUse(turn, machine);
        return spec.isUrgent()
                ? index.chooseSoonest(spec, admits, machine -> launchDelayMs(machine, now))
                : index.choose(spec, admits);
    }

    /** Commands go out with the replies to heartbeats: when the next reply to this machine can be given. */
    private long launchDelayMs(Machine machine, long now) {
        return machine.isAwaitingReply() ? 0 : Math.max(1, machine.lastHeartbeatAtMs() + heartbeatPeriodMs - now);
    }

    private Map<String, Integer> tasksByZone(Job job, ResourceLease lease) {
        Map<String, Integer> zones = cluster.tasksByZone(job.id());
        if (lease.covers(job)) {
            // While a round runs, it is not settled where the job's tasks go: all leased machines count.
            lease.machines().forEach(machine -> zones.merge(machine.zone(), 1, Integer::sum));
        }
        return zones;
    }
}

package notchpick.coordination.leader.allocation;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import notchpick.model.Job;
import notchpick.model.Machine;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.PlacementIndex;

/**
 * Reservations against starvation: a job that has been skipped for long keeps others from the machine that comes
 * nearest to having enough free resources. They last for one round.
 */
final class BackfillReservations {
    private final Map<Machine, TeamTurn> reserved = new HashMap<>();
    private final double maxSkippedMs;

    /** @param maxSkippedMs how long a job may be skipped before it reserves a machine */
    BackfillReservations(double maxSkippedMs) {
        this.maxSkippedMs = maxSkippedMs;
    }

    /** Whether the machine is reserved for none but this team. */
    boolean mayUse(TeamTurn turn, Machine machine) {
        TeamTurn owner = reserved.get(machine);
        return owner == null || owner == turn;
    }

    /** The job has found no machine; true if that has reserved one, which others then can't use. */
    boolean skipped(Job job, TeamTurn turn, PlacementIndex<Machine> index, long now) {
        if (job.skippedSinceMs() == 0) {
            job.setSkippedSinceMs(now);
            return false;
        }
        if (now - job.skippedSinceMs() < maxSkippedMs || reserved.containsValue(turn)) {
            return false;
        }
        Machine nearest = nearest(job.spec(), index);
        if (nearest == null) {
            return false;
        }
        reserved.put(nearest, turn);
        // Within the team too: what comes after this job must leave that machine alone.
        index.remove(nearest);
        return true;
    }

    private Machine nearest(JobSpec spec, PlacementIndex<Machine> index) {
        return index.nodes().stream()
                .filter(machine -> reserved.get(machine) == null
                        && spec.demand().fitsIn(machine.size())
                        && spec.allows(machine.type(), machine.zone(), machine.isSpot()))
                .max(Comparator.comparingDouble(
                        machine -> machine.freeResources().cores()))
                .orElse(null);
    }
}

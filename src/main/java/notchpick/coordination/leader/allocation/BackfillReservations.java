package notchpick.coordination.leader.allocation;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import notchpick.model.Job;
import notchpick.model.Machine;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.PlacementIndex;

/**
 * Prevents starvation: a job that has been skipped for too long reserves the machine with the most free cores among
 * those that it may use and that have room for its task once the job arrays on them have ended. Reservations last for
 * one round.
 */
final class BackfillReservations {
    private final Map<Machine, TeamAllocation> reserved = new HashMap<>();
    private final double maxSkippedMs;

    /** @param maxSkippedMs how long a job may be skipped before it reserves a machine */
    BackfillReservations(double maxSkippedMs) {
        this.maxSkippedMs = maxSkippedMs;
    }

    /** Whether the machine is not reserved for another team. */
    boolean canUse(TeamAllocation allocation, Machine machine) {
        TeamAllocation owner = reserved.get(machine);
        return owner == null || owner == allocation;
    }

    /** Whether the machine is reserved for a job. */
    boolean isReserved(Machine machine) {
        return reserved.containsKey(machine);
    }

    /**
     * Records that no machine was found for the job; returns whether it has been skipped for so long that it may
     * reserve one.
     */
    boolean recordSkip(Job job, TeamAllocation allocation, long nowMs) {
        if (job.skippedSinceMs() == 0) {
            job.setSkippedSinceMs(nowMs);
            return false;
        }
        return nowMs - job.skippedSinceMs() >= maxSkippedMs && !reserved.containsValue(allocation);
    }

    /**
     * Reserves a machine for the job, if there is one. Returns whether a machine was reserved; the caller must then
     * discard its earlier selections, which may contain it.
     *
     * @param isEligible which machines the job may use once they have room: reserving any other would keep work off it
     *     without helping the job
     */
    boolean reserve(Job job, TeamAllocation allocation, Predicate<Machine> isEligible, PlacementIndex<Machine> index) {
        Machine machine = machineWithMostFreeCores(job.spec(), isEligible, index);
        if (machine == null) {
            return false;
        }
        reserved.put(machine, allocation);
        // Removed from the index because later jobs of the same team must not use the machine either.
        index.remove(machine);
        return true;
    }

    private Machine machineWithMostFreeCores(
            JobSpec spec, Predicate<Machine> isEligible, PlacementIndex<Machine> index) {
        return index.nodes().stream()
                .filter(machine -> reserved.get(machine) == null
                        && spec.demand().fitsIn(machine.resourcesWithoutServices())
                        && spec.allows(machine.type(), machine.zone(), machine.isSpot())
                        && isEligible.test(machine))
                .max(Comparator.comparingDouble(
                        machine -> machine.freeResources().cores()))
                .orElse(null);
    }
}

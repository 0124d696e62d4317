package notchpick.coordination.leader.allocation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.Job;
import notchpick.model.Machine;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.Milliseconds;
import notchpick.scheduling.PlacementIndex;
import notchpick.scheduling.Resources;
import notchpick.scheduling.StatefulDrf;

/**
 * One round of algorithm 1 of the paper: grants resources task by task, each time to the team that comes first by group
 * and rank, until no team's next task fits.
 */
final class AllocationRound {
    /**
     * Classifies teams by their next task. Teams are served in the order of these groups and, within a group, by rank.
     * A team within its guarantee does not wait for others. Urgent jobs go before the work that would be preempted for
     * them: otherwise the freed resources would go back to the lowest-ranked team and have to be preempted again. Jobs
     * that can still meet their objective go before all others.
     */
    private enum Group {
        GUARANTEED,
        URGENT,
        OBJECTIVE_ATTAINABLE,
        OTHERS
    }

    /** Lower bound of the fetch rate, which keeps the fetch time finite if the rate of the machine type is unknown. */
    private static final double MIN_FETCH_GB_PER_S = 0.01;
    /** How long a job whose image is missing may be deferred for others, as a multiple of the image's fetch time. */
    private static final double MAX_DEFERRAL_FETCHES = 2;

    private final TermContext context;
    private final CommitmentTracker commitments;
    private final MachineSelector machineSelector;
    private final BackfillReservations reservations;
    private final PlacementIndex<Machine> index;
    private final Resources capacity;
    private final long nowMs;

    AllocationRound(
            TermContext context,
            CommitmentTracker commitments,
            MachineSelector machineSelector,
            BackfillReservations reservations,
            PlacementIndex<Machine> index,
            Resources capacity) {
        this.context = context;
        this.commitments = commitments;
        this.machineSelector = machineSelector;
        this.reservations = reservations;
        this.index = index;
        this.capacity = capacity;
        this.nowMs = context.nowMs();
    }

    /** Grants resources until no team's next task fits. */
    void run(List<TeamAllocation> allocations) {
        List<TeamAllocation> active = new ArrayList<>(allocations);
        while (!active.isEmpty()) {
            TeamAllocation lowest = active.stream()
                    .min(Comparator.<TeamAllocation, Group>comparing(this::group)
                            .thenComparingDouble(this::rank)
                            .thenComparing(TeamAllocation::team))
                    .orElseThrow();
            if (!grantNext(lowest)) {
                active.remove(lowest);
            }
        }
    }

    private double rank(TeamAllocation allocation) {
        return StatefulDrf.rank(StatefulDrf.share(allocation.held(), capacity), commitments.of(allocation.team()));
    }

    private Group group(TeamAllocation allocation) {
        if (allocation.jobs().isEmpty()) {
            return Group.OTHERS;
        }
        JobSpec next = allocation.jobs().get(0).spec();
        if (allocation.isWithinGuarantee(next)) {
            return Group.GUARANTEED;
        }
        if (next.isUrgent()) {
            return Group.URGENT;
        }
        return isObjectiveAttainable(next) ? Group.OBJECTIVE_ATTAINABLE : Group.OTHERS;
    }

    private boolean isObjectiveAttainable(JobSpec spec) {
        double ageS = spec.ageS(context.loop().wallTimeMs());
        return context.deployment()
                .objectives()
                .isAttainable(spec, ageS, context.runtimes().runS(spec));
    }

    /** A job and the machine selected for its next task. */
    private record Candidate(Job job, Machine machine) {}

    /**
     * Grants resources for one task of the team; returns false if none fits. The first job that fits is served, unless
     * it can be deferred for a job of the same priority whose image is already on the machine selected for that job.
     */
    private boolean grantNext(TeamAllocation allocation) {
        List<Job> jobs = allocation.jobs();
        Candidate first = null;
        IdentityHashMap<EquivalenceClass, Machine> selected = new IdentityHashMap<>();
        for (int i = 0; i < jobs.size(); ) {
            Job job = jobs.get(i);
            if (!job.isWaiting() || !allocation.isWithinQuota(job.spec())) {
                jobs.remove(i);
                continue;
            }
            if (first != null && job.spec().priority() != first.job().spec().priority()) {
                break;
            }
            Machine machine = selectOrSkip(job, allocation, selected);
            if (machine == null) {
                jobs.remove(i);
                continue;
            }
            if (machine.images().contains(job.spec().image())) {
                grantAheadOf(first, allocation, job, machine);
                return true;
            }
            if (first == null) {
                first = new Candidate(job, machine);
                if (group(allocation) == Group.GUARANTEED || !canDefer(job, machine)) {
                    break;
                }
            }
            i++;
        }
        if (first == null) {
            return false;
        }
        grant(allocation, first.job(), first.machine());
        return true;
    }

    /**
     * Grants resources to a job whose image is on the machine.
     *
     * @param first the first job in order, which is deferred for this one; null if {@code job} is the first
     */
    private void grantAheadOf(Candidate first, TeamAllocation allocation, Job job, Machine machine) {
        if (first != null && first.job().deferredSinceMs() == 0) {
            first.job().setDeferredSinceMs(nowMs);
        }
        grant(allocation, job, machine);
    }

    /** Selects a machine for the job's next task; if there is none, marks the job as skipped and returns null. */
    private Machine selectOrSkip(
            Job job, TeamAllocation allocation, IdentityHashMap<EquivalenceClass, Machine> selected) {
        Machine machine = select(job, allocation, selected);
        if (machine == null) {
            allocation.markSkipped(job);
            if (reservations.recordSkip(job, allocation, nowMs)
                    && reservations.reserve(
                            job, allocation, machineSelector.eligibility(job, allocation, nowMs), index)) {
                selected.clear();
            }
        }
        return machine;
    }

    private Machine select(Job job, TeamAllocation allocation, IdentityHashMap<EquivalenceClass, Machine> selected) {
        EquivalenceClass equivalenceClass = allocation.classOf(job);
        if (equivalenceClass == null) {
            return machineSelector.select(job, allocation, index, reservations, nowMs);
        }
        Machine machine = selected.get(equivalenceClass);
        if (machine == null && !allocation.isUnplaceable(equivalenceClass)) {
            machine = machineSelector.select(job, allocation, index, reservations, nowMs);
            if (machine != null) {
                selected.put(equivalenceClass, machine);
            }
        }
        return machine;
    }

    /**
     * Whether jobs of the same priority whose image is already on a machine may go before this one. If there is no such
     * job, this one gets the resources at once, so resources are never kept free.
     */
    private boolean canDefer(Job job, Machine machine) {
        double rate = Math.max(context.machineTypes().fetchGbPerS(machine.type()), MIN_FETCH_GB_PER_S);
        double fetchMs = Milliseconds.PER_SECOND * job.spec().imageGb() / rate;
        return !job.spec().isUrgent()
                && (job.deferredSinceMs() == 0 || nowMs - job.deferredSinceMs() < MAX_DEFERRAL_FETCHES * fetchMs);
    }

    private void grant(TeamAllocation allocation, Job job, Machine machine) {
        JobSpec spec = job.spec();
        job.setSkippedSinceMs(0);
        if (!machine.images().contains(spec.image())) {
            job.setDeferredSinceMs(0);
        }
        index.update(machine, () -> {
            // The launch fetches the image, so from now on the machine counts as having it.
            machine.addImage(spec.image());
            machine.lease(spec.demand());
        });
        int task = job.nextPendingTask();
        job.leaseTask(task);
        allocation.lease().add(machine, job, task);
        allocation.addGranted(spec.demand());
    }
}

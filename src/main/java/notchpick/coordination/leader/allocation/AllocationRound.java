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

/** One round of algorithm 1 of the paper: grants resources to the lowest team while its next task fits. */
final class AllocationRound {
    /**
     * Teams whose next task is of an earlier group go first; the paper's ranking decides within each. A team that
     * stays within its guarantee does not wait for others. Urgent work does not wait for what would be preempted for
     * it: the resources would go back to the lower team, and be asked for again. And what has an objective that can
     * still be met does not wait for work that has none.
     */
    private enum Group {
        GUARANTEED,
        URGENT,
        OBJECTIVE_ATTAINABLE,
        OTHERS
    }

    /** Keeps the fetch time of an image finite where the rate is not known. */
    private static final double MIN_FETCH_GB_PER_S = 0.01;
    /** Others may go first for as long as so many fetches of the job's image take. */
    private static final double MAX_DEFERRAL_FETCHES = 2;

    private final TermContext context;
    private final CommitmentTracker commitments;
    private final NodeSelector nodes;
    private final BackfillReservations reservations;
    private final PlacementIndex<Machine> index;
    private final Resources capacity;
    private final long now;

    AllocationRound(
            TermContext context,
            CommitmentTracker commitments,
            NodeSelector nodes,
            BackfillReservations reservations,
            PlacementIndex<Machine> index,
            Resources capacity) {
        this.context = context;
        this.commitments = commitments;
        this.nodes = nodes;
        this.reservations = reservations;
        this.index = index;
        this.capacity = capacity;
        this.now = context.nowMs();
    }

    /** Grants resources until no team's next task fits. */
    void run(List<TeamTurn> turns) {
        List<TeamTurn> active = new ArrayList<>(turns);
        while (!active.isEmpty()) {
            TeamTurn lowest = active.stream()
                    .min(Comparator.<TeamTurn, Group>comparing(this::group)
                            .thenComparingDouble(this::rank)
                            .thenComparing(TeamTurn::team))
                    .orElseThrow();
            if (!grantNext(lowest)) {
                active.remove(lowest);
            }
        }
    }

    private double rank(TeamTurn turn) {
        return StatefulDrf.rank(StatefulDrf.share(turn.held(), capacity), commitments.of(turn.team()));
    }

    private Group group(TeamTurn turn) {
        if (turn.jobs().isEmpty()) {
            return Group.OTHERS;
        }
        JobSpec next = turn.jobs().get(0).spec();
        if (turn.isWithinGuarantee(next)) {
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

    /** A job, and the machine that its next task would go to. */
    private record Candidate(Job job, Machine machine) {}

    /** Grants resources to the team's next task that fits; false if none does. */
    private boolean grantNext(TeamTurn turn) {
        List<Job> jobs = turn.jobs();
        Candidate first = null;
        IdentityHashMap<EquivalenceClass, Machine> selected = new IdentityHashMap<>();
        for (int i = 0; i < jobs.size(); ) {
            Job job = jobs.get(i);
            if (!job.isWaiting() || !turn.isWithinQuota(job.spec())) {
                jobs.remove(i);
                continue;
            }
            if (first != null && job.spec().priority() != first.job().spec().priority()) {
                break;
            }
            Machine machine = selectOrSkip(job, turn, selected);
            if (machine == null) {
                jobs.remove(i);
                continue;
            }
            if (machine.images().contains(job.spec().image())) {
                grantInsteadOf(first, turn, job, machine);
                return true;
            }
            if (first == null) {
                first = new Candidate(job, machine);
                if (group(turn) == Group.GUARANTEED || !mayDefer(job, machine)) {
                    break;
                }
            }
            i++;
        }
        if (first == null) {
            return false;
        }
        grant(turn, first.job(), first.machine());
        return true;
    }

    /** Grants resources to a job whose image is on the machine, which may come after the first job in order. */
    private void grantInsteadOf(Candidate first, TeamTurn turn, Job job, Machine machine) {
        if (first != null && first.job().deferredSinceMs() == 0) {
            first.job().setDeferredSinceMs(now);
        }
        grant(turn, job, machine);
    }

    /** The machine for the job's next task; null if there is none, and the job is skipped. */
    private Machine selectOrSkip(Job job, TeamTurn turn, IdentityHashMap<EquivalenceClass, Machine> selected) {
        Machine machine = select(job, turn, selected);
        if (machine == null) {
            turn.skip(job);
            if (reservations.skipped(job, turn, index, now)) {
                selected.clear();
            }
        }
        return machine;
    }

    private Machine select(Job job, TeamTurn turn, IdentityHashMap<EquivalenceClass, Machine> selected) {
        EquivalenceClass equivalenceClass = turn.classOf(job);
        if (equivalenceClass == null) {
            return nodes.select(job, turn, index, reservations, now);
        }
        Machine machine = selected.get(equivalenceClass);
        if (machine == null && !turn.isUnplaceable(equivalenceClass)) {
            machine = nodes.select(job, turn, index, reservations, now);
            if (machine != null) {
                selected.put(equivalenceClass, machine);
            }
        }
        return machine;
    }

    /**
     * Whether other jobs of the same priority, whose image is on a machine already, may go first. Resources never stay
     * free for that.
     */
    private boolean mayDefer(Job job, Machine machine) {
        double rate = Math.max(context.machineTypes().fetchGbPerS(machine.type()), MIN_FETCH_GB_PER_S);
        double fetchMs = Milliseconds.PER_SECOND * job.spec().imageGb() / rate;
        return !job.spec().isUrgent()
                && (job.deferredSinceMs() == 0 || now - job.deferredSinceMs() < MAX_DEFERRAL_FETCHES * fetchMs);
    }

    private void grant(TeamTurn turn, Job job, Machine machine) {
        JobSpec spec = job.spec();
        job.setSkippedSinceMs(0);
        if (!machine.images().contains(spec.image())) {
            job.setDeferredSinceMs(0);
        }
        index.update(machine, () -> {
            // The image will be fetched for this task, and serves those that follow.
            machine.addImage(spec.image());
            machine.lease(spec.demand());
        });
        int task = job.nextPendingTask();
        job.leaseTask(task);
        turn.lease().add(machine, job, task);
        turn.granted(spec.demand());
    }
}

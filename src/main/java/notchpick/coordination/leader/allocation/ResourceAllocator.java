package notchpick.coordination.leader.allocation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import notchpick.coordination.Deployment;
import notchpick.coordination.Deployment.Quota;
import notchpick.coordination.Tuning;
import notchpick.coordination.leader.term.OnDemandPolicy;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.ClusterState;
import notchpick.model.Job;
import notchpick.model.Machine;
import notchpick.scheduling.JobOrder;
import notchpick.scheduling.JobOrder.WaitingJob;
import notchpick.scheduling.Milliseconds;
import notchpick.scheduling.PlacementIndex;
import notchpick.scheduling.Resources;

/** Allocates resources to teams by Stateful Dominant Resource Fairness, with quotas, urgency and preemption. */
public final class ResourceAllocator {

    private final TermContext context;
    private final Deployment deployment;
    private final ClusterState cluster;
    private final ResourceLeases leases;
    private final CommitmentTracker commitments;
    private final PreemptionPlanner preemption;
    private final SkippedJobLog skippedJobs;
    private final double maxSkippedMs;

    public ResourceAllocator(TermContext context, Tuning tuning, ResourceLeases leases) {
        this.context = context;
        this.deployment = context.deployment();
        this.cluster = context.cluster();
        this.leases = leases;
        this.commitments = new CommitmentTracker(context, tuning.commitmentDecayS());
        this.preemption = new PreemptionPlanner(context);
        this.maxSkippedMs = tuning.maxSkippedS() * Milliseconds.PER_SECOND;
        this.skippedJobs = new SkippedJobLog(context, maxSkippedMs);
    }

    /** The decayed overuse of each team. */
    public Map<String, Resources> commitments() {
        return commitments.all();
    }

    /** Loads the commitments that a former leader saved. */
    public void loadCommitments(Map<String, Resources> saved) {
        commitments.load(saved);
    }

    /** Runs one allocation round. */
    public void runRound() {
        long nowMs = context.nowMs();
        Resources capacity = cluster.capacity();
        Map<String, List<Job>> waiting = new HashMap<>();
        Set<String> activeTeams = new HashSet<>();
        for (Job job : cluster.jobs()) {
            if (job.isBlocked()) {
                continue;
            }
            String team = job.spec().team();
            activeTeams.add(team);
            if (job.isWaiting() && !job.isBackingOff(nowMs)) {
                waiting.computeIfAbsent(team, t -> new ArrayList<>()).add(job);
            }
        }
        commitments.update(activeTeams, capacity);
        waiting.keySet().removeIf(leases::hasLeaseFor);
        if (waiting.isEmpty()) {
            return;
        }
        List<Machine> schedulable = schedulableMachines(nowMs);
        boolean isPreemptionDue = preemption.isDue(nowMs);
        if (schedulable.isEmpty() && !isPreemptionDue) {
            return;
        }
        PlacementIndex<Machine> index = new PlacementIndex<>(schedulable);
        OnDemandPolicy onDemand = new OnDemandPolicy(context);
        List<TeamAllocation> allocations = new ArrayList<>();
        waiting.forEach(
                (team, jobs) -> allocations.add(newAllocation(team, jobs, capacity, activeTeams.size(), onDemand)));
        MachineSelector machineSelector = new MachineSelector(context, onDemand);
        BackfillReservations reservations = new BackfillReservations(maxSkippedMs);
        new AllocationRound(context, commitments, machineSelector, reservations, index, capacity).run(allocations);
        skippedJobs.record(allocations, machineSelector, reservations, nowMs);
        allocations.forEach(allocation -> leases.grant(allocation.lease()));
        if (isPreemptionDue) {
            preemption.preemptFor(allocations, nowMs);
        }
    }

    private List<Machine> schedulableMachines(long nowMs) {
        List<Machine> schedulable = new ArrayList<>();
        for (Machine machine : cluster.machines()) {
            if (machine.freeResources().cores() > Resources.EPSILON
                    && machine.isSchedulable(nowMs, context.heartbeatPeriodMs())) {
                schedulable.add(machine);
            }
        }
        return schedulable;
    }

    private TeamAllocation newAllocation(
            String team, List<Job> jobs, Resources capacity, int activeTeams, OnDemandPolicy onDemand) {
        List<WaitingJob<Job>> waiting = new ArrayList<>();
        for (Job job : jobs) {
            double runS = context.runtimes().runS(job.spec());
            double remainingCoreS =
                    job.unfinishedTasks() * runS * job.spec().demand().cores();
            waiting.add(new WaitingJob<>(job, job.spec(), remainingCoreS, runS));
        }
        List<Job> ordered = new ArrayList<>();
        double cores = expectedCores(team, capacity, activeTeams);
        JobOrder.sorted(waiting, context.loop().wallTimeMs(), deployment.objectives(), cores)
                .forEach(next -> ordered.add(next.job()));
        return new TeamAllocation(
                team, deployment.quota(team), ordered, leases.newLease(team), cluster.usage(team), onDemand);
    }

    /**
     * Estimates how many cores the team can count on: the largest of its guarantee, an equal share and what it holds
     * now, limited by its quota.
     */
    private double expectedCores(String team, Resources capacity, int activeTeams) {
        double equalShare = capacity.cores() / Math.max(1, activeTeams);
        double cores = Math.max(equalShare, cluster.usage(team).cores());
        Quota quota = deployment.quota(team);
        if (quota == null) {
            return cores;
        }
        cores = Math.max(cores, quota.guaranteed().cores());
        return quota.maximum().cores() > 0 ? Math.min(cores, quota.maximum().cores()) : cores;
    }
}

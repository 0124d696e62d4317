package notchpick.coordination.leader.scaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import notchpick.coordination.Deployment;
import notchpick.coordination.Deployment.Quota;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.ClusterState;
import notchpick.model.Job;
import notchpick.model.Machine;
import notchpick.model.MachineTypeCatalog;
import notchpick.scheduling.JobDemand;
import notchpick.scheduling.JobOrder;
import notchpick.scheduling.JobOrder.WaitingJob;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.NodePool;
import notchpick.scheduling.Resources;

/** Estimates what the open jobs could use, and which of them can't do with spot machines alone. */
final class DemandEstimator {
    private final TermContext context;
    private final Deployment deployment;
    private final ClusterState cluster;
    private final MachineTypeCatalog types;
    private final Predicate<NodePool> refused;

    /** @param refused pools of which the cloud has lately given less than was asked for */
    DemandEstimator(TermContext context, Predicate<NodePool> refused) {
        this.context = context;
        this.deployment = context.deployment();
        this.cluster = context.cluster();
        this.types = context.machineTypes();
        this.refused = refused;
    }

    /** What the open jobs need, in the order in which they are served. */
    List<JobDemand> demands() {
        double cores = ownedCores();
        double aheadS = 0;
        Map<String, Resources> demandByTeam = new HashMap<>();
        List<JobDemand> demands = new ArrayList<>();
        long wallTime = context.loop().wallTimeMs();
        for (WaitingJob<Job> waiting : JobOrder.sorted(unblockedJobs(), wallTime, deployment.objectives(), cores)) {
            JobSpec spec = waiting.spec();
            Job job = waiting.job();
            aheadS += waiting.remainingCoreS();
            Quota quota = deployment.quota(spec.team());
            Resources before = demandByTeam.getOrDefault(spec.team(), Resources.NONE);
            int tasks = Math.min(job.desiredTasks(), tasksWithinQuota(spec, quota, before));
            if (tasks > 0) {
                Resources after = demandByTeam.merge(spec.team(), spec.demand().times(tasks), Resources::plus);
                boolean isGuaranteed = quota != null && quota.isWithinGuarantee(after);
                double queueS = cores > 0 ? aheadS / cores : Double.MAX_VALUE;
                job.setSpotTooSlow(isGuaranteed || isUrgentAndLate(waiting, queueS));
                if (hasNoSpotMachine(spec)) {
                    job.markSpotUnavailable();
                }
                demands.add(new JobDemand(spec, tasks, waiting.runS(), job.canUseOnDemand(), isGuaranteed));
            }
        }
        return demands;
    }

    private List<WaitingJob<Job>> unblockedJobs() {
        List<WaitingJob<Job>> waiting = new ArrayList<>();
        for (Job job : cluster.jobs()) {
            if (!job.isBlocked()) {
                double runS = context.runtimes().runS(job.spec());
                double remainingS =
                        job.desiredTasks() * runS * job.spec().demand().cores();
                waiting.add(new WaitingJob<>(job, job.spec(), remainingS, runS));
            }
        }
        return waiting;
    }

    private double ownedCores() {
        double cores = 0;
        for (Machine machine : cluster.machines()) {
            boolean counts = machine.state() == Machine.State.PROVISIONING || machine.state() == Machine.State.READY;
            cores += counts ? machine.size().cores() : 0;
        }
        return cores;
    }

    /** What the team may not run at once needs no machines. */
    private static int tasksWithinQuota(JobSpec spec, Quota quota, Resources before) {
        if (quota == null || quota.maximum().cores() <= 0 || spec.demand().cores() <= 0) {
            return Integer.MAX_VALUE;
        }
        double remaining = quota.maximum().cores() - before.cores();
        return (int) Math.max(0, remaining / spec.demand().cores());
    }

    /** Whether the machines there are would finish an urgent job too late, while more machines still could help. */
    private boolean isUrgentAndLate(WaitingJob<Job> waiting, double queueS) {
        JobSpec spec = waiting.spec();
        if (!spec.isUrgent()) {
            return false;
        }
        double ageS = spec.ageS(context.loop().wallTimeMs());
        double bootS = types.shortestBootS();
        // What a machine rented now could still finish in time.
        double slackS = deployment.objectives().slackS(spec, ageS + bootS, waiting.runS());
        return slackS >= 0 && queueS > slackS + bootS;
    }

    /** Whether no spot machine that it may use is rented, nor can be: it would wait forever. */
    private boolean hasNoSpotMachine(JobSpec spec) {
        return !isSpotMachineRented(spec) && !isSpotMachineOffered(spec);
    }

    private boolean isSpotMachineRented(JobSpec spec) {
        for (Machine machine : cluster.machines()) {
            if (machine.isSpot()
                    && machine.state() != Machine.State.RELEASED
                    && spec.demand().fitsIn(machine.size())
                    && spec.allows(machine.type(), machine.zone(), true)) {
                return true;
            }
        }
        return false;
    }

    private boolean isSpotMachineOffered(JobSpec spec) {
        for (MachineType type : types.all()) {
            for (String zone : type.zones()) {
                if (spec.allows(type.name(), zone, true)
                        && spec.demand().fitsIn(type.size())
                        && !refused.test(new NodePool(type.name(), zone, true))) {
                    return true;
                }
            }
        }
        return false;
    }
}

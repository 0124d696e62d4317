package notchpick.coordination.leader.scaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import notchpick.coordination.Deployment;
import notchpick.coordination.Deployment.Quota;
import notchpick.coordination.leader.term.OnDemandPolicy;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Estimates how many tasks of each open job could run at once, and decides which jobs need on-demand machines. */
final class DemandEstimator {
    private static final Logger LOG = LoggerFactory.getLogger(DemandEstimator.class);

    private final TermContext context;
    private final Deployment deployment;
    private final ClusterState cluster;
    private final MachineTypeCatalog types;
    private final Predicate<NodePool> isRefused;

    /** @param isRefused whether the cloud has recently rented out fewer machines of a pool than requested */
    DemandEstimator(TermContext context, Predicate<NodePool> isRefused) {
        this.context = context;
        this.deployment = context.deployment();
        this.cluster = context.cluster();
        this.types = context.machineTypes();
        this.isRefused = isRefused;
    }

    /** The demands of the open jobs that are not blocked, in the order in which the jobs are served. */
    List<JobDemand> demands() {
        OnDemandPolicy onDemand = new OnDemandPolicy(context);
        double ownedCores = ownedCores();
        double queuedCoreS = 0;
        Map<String, Resources> demandByTeam = new HashMap<>();
        List<JobDemand> demands = new ArrayList<>();
        long wallTimeMs = context.loop().wallTimeMs();
        for (WaitingJob<Job> waiting :
                JobOrder.sorted(unblockedJobs(), wallTimeMs, deployment.objectives(), ownedCores)) {
            JobSpec spec = waiting.spec();
            Job job = waiting.job();
            queuedCoreS += waiting.remainingCoreS();
            Quota quota = deployment.quota(spec.team());
            Resources demandBefore = demandByTeam.getOrDefault(spec.team(), Resources.NONE);
            int tasks = Math.min(job.desiredTasks(), tasksWithinQuota(spec, quota, demandBefore));
            if (tasks > 0) {
                Resources demandAfter =
                        demandByTeam.merge(spec.team(), spec.demand().times(tasks), Resources::plus);
                boolean isGuaranteed = quota != null && quota.isWithinGuarantee(demandAfter);
                double queueS = ownedCores > 0 ? queuedCoreS / ownedCores : Double.MAX_VALUE;
                job.setSpotTooSlow(isGuaranteed || isUrgentAndLate(waiting, queueS));
                if (spec.spot() && hasNoSpotMachine(spec)) {
                    markSpotUnavailable(job);
                }
                demands.add(new JobDemand(spec, tasks, waiting.runS(), onDemand.accessOf(job), isGuaranteed));
            }
        }
        return demands;
    }

    private List<WaitingJob<Job>> unblockedJobs() {
        List<WaitingJob<Job>> waiting = new ArrayList<>();
        for (Job job : cluster.jobs()) {
            if (!job.isBlocked()) {
                double runS = context.runtimes().runS(job.spec());
                double remainingCoreS =
                        job.desiredTasks() * runS * job.spec().demand().cores();
                waiting.add(new WaitingJob<>(job, job.spec(), remainingCoreS, runS));
            }
        }
        return waiting;
    }

    private double ownedCores() {
        double ownedCores = 0;
        for (Machine machine : cluster.machines()) {
            boolean isOwned = machine.state() == Machine.State.PROVISIONING || machine.state() == Machine.State.READY;
            ownedCores += isOwned ? machine.size().cores() : 0;
        }
        return ownedCores;
    }

    /** How many tasks the team may still run within its quota; tasks beyond it need no machines. */
    private static int tasksWithinQuota(JobSpec spec, Quota quota, Resources demandBefore) {
        if (quota == null || quota.maximum().cores() <= 0 || spec.demand().cores() <= 0) {
            return Integer.MAX_VALUE;
        }
        double remaining = quota.maximum().cores() - demandBefore.cores();
        return (int) Math.max(0, remaining / spec.demand().cores());
    }

    /** Whether an urgent job would be late on the owned machines, but could still be on time on one rented now. */
    private boolean isUrgentAndLate(WaitingJob<Job> waiting, double queueS) {
        JobSpec spec = waiting.spec();
        if (!spec.isUrgent()) {
            return false;
        }
        double ageS = spec.ageS(context.loop().wallTimeMs());
        double bootS = types.shortestBootS();
        // The slack that is left on a machine rented now; negative if even that is too late.
        double slackS = deployment.objectives().slackS(spec, ageS + bootS, waiting.runS());
        return slackS >= 0 && queueS > slackS + bootS;
    }

    private void markSpotUnavailable(Job job) {
        if (!job.isSpotUnavailable()) {
            LOG.info(
                    "no spot machine available: job={} team={}",
                    job.id(),
                    job.spec().team());
            job.markSpotUnavailable();
        }
    }

    /** Whether no spot machine is offered, and none is rented that will ever have room: the job would wait forever. */
    private boolean hasNoSpotMachine(JobSpec spec) {
        return !isSpotMachineRented(spec) && !isSpotMachineOffered(spec);
    }

    /** Whether a rented spot machine can run the job, if not now, then once the job arrays on it have ended. */
    private boolean isSpotMachineRented(JobSpec spec) {
        for (Machine machine : cluster.machines()) {
            if (machine.isSpot()
                    && (machine.state() == Machine.State.PROVISIONING || machine.state() == Machine.State.READY)
                    && spec.demand().fitsIn(machine.resourcesWithoutServices())
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
                        && !isRefused.test(new NodePool(type.name(), zone, true))) {
                    return true;
                }
            }
        }
        return false;
    }
}

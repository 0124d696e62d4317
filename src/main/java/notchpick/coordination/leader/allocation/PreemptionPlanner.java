package notchpick.coordination.leader.allocation;

import java.util.ArrayList;
import java.util.List;
import notchpick.coordination.Deployment;
import notchpick.coordination.Deployment.Quota;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.ClusterState;
import notchpick.model.Job;
import notchpick.model.Machine;
import notchpick.model.TaskAssignment;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.Preemption;
import notchpick.scheduling.Preemption.Preemptor;
import notchpick.scheduling.Preemption.Victim;
import notchpick.scheduling.Resources;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Preempts running tasks for guaranteed or urgent work that is waiting. A preempted task writes a checkpoint first. */
final class PreemptionPlanner {
    private static final Logger LOG = LoggerFactory.getLogger(PreemptionPlanner.class);
    /** The minimum time between two searches for tasks to preempt, in heartbeat periods. */
    private static final double MIN_INTERVAL_PERIODS = 0.2;

    private final TermContext context;
    private final Deployment deployment;
    private final ClusterState cluster;
    private long lastPlannedAtMs;

    PreemptionPlanner(TermContext context) {
        this.context = context;
        this.deployment = context.deployment();
        this.cluster = context.cluster();
    }

    /**
     * Whether {@link #preemptFor} should be called. It is not called in every round because it examines every running
     * task, and because only jobs that have waited for a heartbeat period may preempt.
     */
    boolean isDue(long nowMs) {
        return nowMs - lastPlannedAtMs >= context.heartbeatPeriodMs() * MIN_INTERVAL_PERIODS;
    }

    /** Preempts tasks for jobs that the round has skipped. */
    void preemptFor(List<TeamAllocation> allocations, long nowMs) {
        lastPlannedAtMs = nowMs;
        List<Preemptor> preemptors = new ArrayList<>();
        allocations.forEach(allocation -> addPreemptors(allocation, nowMs, preemptors));
        if (preemptors.isEmpty()) {
            return;
        }
        double beingFreedCores = 0;
        List<Victim<TaskAssignment>> victims = new ArrayList<>();
        for (Machine machine : cluster.machines()) {
            for (TaskAssignment assignment : machine.assignments()) {
                JobSpec spec = assignment.spec();
                if (assignment.isStopRequested()) {
                    beingFreedCores += spec.demand().cores();
                } else if (assignment.isPreemptible(nowMs)
                        && machine.isSchedulable(nowMs, context.heartbeatPeriodMs())) {
                    victims.add(new Victim<>(assignment, spec, machine.type(), machine.zone(), machine.isSpot()));
                }
            }
        }
        for (TaskAssignment victim :
                Preemption.choose(preemptors, victims, beingFreedCores, this::coresBeyondGuarantee)) {
            LOG.info(
                    "task preempted: task={} team={} machine={}",
                    victim.taskName(),
                    victim.spec().team(),
                    victim.machine().name());
            victim.requestCheckpointAndStop();
        }
    }

    private void addPreemptors(TeamAllocation allocation, long nowMs, List<Preemptor> preemptors) {
        Quota quota = allocation.quota();
        Resources held = allocation.held();
        for (Job job : allocation.skipped()) {
            JobSpec spec = job.spec();
            int guaranteedTasks = 0;
            while (quota != null
                    && guaranteedTasks < job.startableTasks()
                    && quota.isWithinGuarantee(held.plus(spec.demand().times(guaranteedTasks + 1)))) {
                guaranteedTasks++;
            }
            held = held.plus(spec.demand().times(guaranteedTasks));
            // Within a heartbeat period, many resources become free without preemption.
            boolean hasWaited = nowMs - job.skippedSinceMs() >= context.heartbeatPeriodMs();
            if (hasWaited && (guaranteedTasks > 0 || spec.isUrgent())) {
                int tasks = spec.isUrgent() ? job.startableTasks() : guaranteedTasks;
                preemptors.add(new Preemptor(spec, tasks, guaranteedTasks > 0));
            }
        }
    }

    private double coresBeyondGuarantee(String team) {
        Quota quota = deployment.quota(team);
        double guaranteedCores = quota == null ? 0 : quota.guaranteed().cores();
        return cluster.usage(team).cores() - guaranteedCores;
    }
}

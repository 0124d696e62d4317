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

/** Preempts tasks, after a checkpoint, that keep guaranteed or urgent work waiting. */
final class PreemptionPlanner {
    private static final Logger LOG = LoggerFactory.getLogger(PreemptionPlanner.class);
    /** Victims are looked for once in this part of a heartbeat period. */
    private static final double PERIOD_RATIO = 0.2;

    private final TermContext context;
    private final Deployment deployment;
    private final ClusterState cluster;
    private long plannedAt;

    PreemptionPlanner(TermContext context) {
        this.context = context;
        this.deployment = context.deployment();
        this.cluster = context.cluster();
    }

    /** Not in each round: it looks at every running task, and only work that has waited for long preempts. */
    boolean isDue(long now) {
        return now - plannedAt >= context.heartbeatPeriodMs() * PERIOD_RATIO;
    }

    /** Preempts tasks for what the round has skipped. */
    void preemptFor(List<TeamTurn> turns, long now) {
        plannedAt = now;
        List<Preemptor> preemptors = new ArrayList<>();
        turns.forEach(turn -> addPreemptors(turn, now, preemptors));
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
                } else if (assignment.isPreemptible(now) && machine.isSchedulable(now, context.heartbeatPeriodMs())) {
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

    private void addPreemptors(TeamTurn turn, long now, List<Preemptor> preemptors) {
        Quota quota = turn.quota();
        Resources held = turn.held();
        for (Job job : turn.skipped()) {
            JobSpec spec = job.spec();
            int guaranteedTasks = 0;
            while (quota != null
                    && guaranteedTasks < job.startableTasks()
                    && quota.isWithinGuarantee(held.plus(spec.demand().times(guaranteedTasks + 1)))) {
                guaranteedTasks++;
            }
            held = held.plus(spec.demand().times(guaranteedTasks));
            // Much becomes free by itself within a heartbeat period.
            boolean hasWaited = now - job.skippedSinceMs() >= context.heartbeatPeriodMs();
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

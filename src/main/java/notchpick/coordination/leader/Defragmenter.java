package notchpick.coordination.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import notchpick.coordination.leader.allocation.ResourceLeases;
import notchpick.coordination.leader.scaling.Autoscaler;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.ClusterState;
import notchpick.model.Machine;
import notchpick.model.TaskAssignment;
import notchpick.scheduling.Consolidation;
import notchpick.scheduling.Consolidation.Candidate;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.Milliseconds;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** While no job is waiting, drains little-used machines whose tasks can write a checkpoint and move elsewhere. */
final class Defragmenter {
    private static final Logger LOG = LoggerFactory.getLogger(Defragmenter.class);
    /** A task is moved only if its remaining run time is more than this many times its checkpoint write time. */
    private static final int MIN_REMAINING_CHECKPOINT_WRITES = 10;

    private final TermContext context;
    private final ClusterState cluster;
    private final ResourceLeases leases;
    private final Autoscaler autoscaler;

    Defragmenter(TermContext context, ResourceLeases leases, Autoscaler autoscaler) {
        this.context = context;
        this.cluster = context.cluster();
        this.leases = leases;
        this.autoscaler = autoscaler;
    }

    /** Drains machines until as many are draining as are allowed at a time. */
    void run(long nowMs) {
        if (leases.isAnyHeld() || autoscaler.isProvisioningLate() || isWorkWaiting()) {
            return;
        }
        List<Candidate<Machine>> candidates = new ArrayList<>();
        List<JobSpec> movingTasks = new ArrayList<>();
        int draining = 0;
        double freeCores = 0;
        for (Machine machine : cluster.machines()) {
            if (machine.state() == Machine.State.DRAINING
                    && !machine.assignments().isEmpty()) {
                draining++;
                machine.assignments().forEach(assignment -> movingTasks.add(assignment.spec()));
            } else if (machine.isSchedulable(nowMs, context.heartbeatPeriodMs())) {
                freeCores += machine.freeResources().cores();
                candidates.add(new Candidate<>(machine, movableTasks(machine, nowMs)));
            }
        }
        double usedRatio = 1 - freeCores / Math.max(1, cluster.capacity().cores());
        int maxDraining = Consolidation.maxDraining(candidates.size(), usedRatio);
        Consolidation.selectForDraining(candidates, movingTasks, maxDraining - draining)
                .forEach(Defragmenter::drain);
    }

    private boolean isWorkWaiting() {
        return cluster.jobs().stream().anyMatch(job -> job.isWaiting() && !job.isSuspectedFaulty());
    }

    private static void drain(Machine machine) {
        LOG.info(
                "machine draining: machine={} tasks={} reason=defragmentation",
                machine.name(),
                machine.assignments().size());
        machine.drain();
        machine.assignments().forEach(TaskAssignment::requestCheckpointAndStop);
    }

    /** The machine's tasks; empty if one of them can't be moved now or is not worth moving. */
    private Optional<List<JobSpec>> movableTasks(Machine machine, long nowMs) {
        List<JobSpec> tasks = new ArrayList<>();
        for (TaskAssignment assignment : machine.assignments()) {
            JobSpec spec = assignment.spec();
            double ranS = (nowMs - assignment.runningSinceMs()) / Milliseconds.PER_SECOND;
            double remainingS = context.runtimes().runS(spec) - ranS;
            boolean isWorthMoving =
                    remainingS > MIN_REMAINING_CHECKPOINT_WRITES * spec.checkpointWriteS() || remainingS < 0;
            if (!assignment.isPreemptible(nowMs) || !isWorthMoving || spec.hasZoneConstraint()) {
                return Optional.empty();
            }
            tasks.add(spec);
        }
        return Optional.of(tasks);
    }
}

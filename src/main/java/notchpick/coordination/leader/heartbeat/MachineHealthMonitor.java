package notchpick.coordination.leader.heartbeat;

import notchpick.coordination.leader.term.TermContext;
import notchpick.model.ClusterState;
import notchpick.model.Job;
import notchpick.model.Machine;
import notchpick.model.TaskAssignment;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Quarantines machines on which tasks of several jobs fail, and drains those that turn out to be faulty. */
public final class MachineHealthMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(MachineHealthMonitor.class);
    /** Tasks of so many jobs must have failed on a machine for it to be suspected. */
    private static final int FAILED_JOBS_TO_SUSPECT = 2;
    /** A failure counts against its machine for so many heartbeat periods. */
    private static final int FAILURE_MEMORY_PERIODS = 20;

    private final ClusterState cluster;
    private final long heartbeatPeriodMs;

    public MachineHealthMonitor(TermContext context) {
        this.cluster = context.cluster();
        this.heartbeatPeriodMs = context.heartbeatPeriodMs();
    }

    /** A task has failed on its machine. */
    void taskFailed(TaskAssignment assignment, long now) {
        Machine machine = assignment.machine();
        String jobId = assignment.spec().id();
        LOG.info("task failed: task={} machine={}", assignment.taskName(), machine.name());
        machine.health().recordTaskFailure(jobId, now);
        Job job = cluster.job(jobId);
        if (job != null) {
            job.recordTaskFailure(machine.name(), now, heartbeatPeriodMs);
        }
        if (!machine.health().isSuspected() && hasFailedSeveralJobs(machine, now)) {
            LOG.info("machine quarantined: machine={} reason=\"tasks of several jobs failed\"", machine.name());
            machine.health().suspect(now);
        }
    }

    /**
     * Whether several jobs have lately failed on the machine and none has succeeded, not counting jobs that fail
     * everywhere or that have ended.
     */
    private boolean hasFailedSeveralJobs(Machine machine, long now) {
        long memoryMs = heartbeatPeriodMs * FAILURE_MEMORY_PERIODS;
        long failedJobs = machine.health().taskFailures().entrySet().stream()
                .filter(failure -> now - failure.getValue() < memoryMs)
                .map(failure -> cluster.job(failure.getKey()))
                .filter(job -> job != null && !job.isSuspectedFaulty())
                .count();
        return failedJobs >= FAILED_JOBS_TO_SUSPECT;
    }

    /**
     * Drains a suspected machine, or takes it back into service. Decided a heartbeat period after the failure: by then
     * jobs with a mistake, several of which may have failed on a sound machine first, have failed elsewhere too.
     */
    public void review(Machine machine, long now) {
        if (!machine.health().isSuspected()) {
            return;
        }
        if (!hasFailedSeveralJobs(machine, now)) {
            LOG.info("machine quarantine ended: machine={}", machine.name());
            machine.health().clearSuspicion(now);
        } else if (now - machine.health().suspectedSinceMs() >= heartbeatPeriodMs
                && machine.state() == Machine.State.READY) {
            LOG.warn("machine draining: machine={} reason=\"repeated task failures\"", machine.name());
            machine.drain();
        }
    }
}

package notchpick.coordination.leader.heartbeat;

import notchpick.coordination.leader.term.TermContext;
import notchpick.model.ClusterState;
import notchpick.model.Job;
import notchpick.model.Machine;
import notchpick.model.TaskAssignment;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Quarantines machines on which tasks of several jobs fail, and drains those where the failures persist. */
public final class MachineHealthMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(MachineHealthMonitor.class);
    /** A machine is suspected to be faulty once tasks of this many jobs have failed on it. */
    private static final int FAILED_JOBS_TO_SUSPECT = 2;
    /** How long a failure counts against its machine, in heartbeat periods. */
    private static final int FAILURE_RETENTION_PERIODS = 20;

    private final ClusterState cluster;
    private final long heartbeatPeriodMs;

    public MachineHealthMonitor(TermContext context) {
        this.cluster = context.cluster();
        this.heartbeatPeriodMs = context.heartbeatPeriodMs();
    }

    /** Records the failure with the machine and the job, and quarantines the machine if it is now suspected. */
    void recordTaskFailure(TaskAssignment assignment, long nowMs) {
        Machine machine = assignment.machine();
        String jobId = assignment.spec().id();
        LOG.info("task failed: task={} machine={}", assignment.taskName(), machine.name());
        machine.health().recordTaskFailure(jobId, nowMs);
        Job job = cluster.job(jobId);
        if (job != null) {
            job.recordTaskFailure(machine.name(), nowMs, heartbeatPeriodMs);
        }
        if (!machine.health().isSuspected() && hasFailedSeveralJobs(machine, nowMs)) {
            LOG.info("machine quarantined: machine={} reason=\"tasks of several jobs failed\"", machine.name());
            machine.health().suspect(nowMs);
        }
    }

    /**
     * Whether tasks of several jobs have recently failed on the machine and none has succeeded. Jobs that have ended
     * and jobs suspected to be faulty themselves don't count.
     */
    private boolean hasFailedSeveralJobs(Machine machine, long nowMs) {
        long retentionMs = heartbeatPeriodMs * FAILURE_RETENTION_PERIODS;
        long failedJobs = machine.health().taskFailures().entrySet().stream()
                .filter(failure -> nowMs - failure.getValue() < retentionMs)
                .map(failure -> cluster.job(failure.getKey()))
                .filter(job -> job != null && !job.isSuspectedFaulty())
                .count();
        return failedJobs >= FAILED_JOBS_TO_SUSPECT;
    }

    /**
     * Drains a suspected machine, or ends its quarantine. Draining waits for one heartbeat period after the machine was
     * suspected: several faulty jobs may have failed first on a healthy machine, and by then those jobs have failed on
     * other machines too and no longer count.
     */
    public void reviewSuspicion(Machine machine, long nowMs) {
        if (!machine.health().isSuspected()) {
            return;
        }
        if (!hasFailedSeveralJobs(machine, nowMs)) {
            LOG.info("machine quarantine ended: machine={}", machine.name());
            machine.health().clearSuspicion(nowMs);
        } else if (nowMs - machine.health().suspectedSinceMs() >= heartbeatPeriodMs
                && machine.state() == Machine.State.READY) {
            LOG.warn("machine draining: machine={} reason=\"repeated task failures\"", machine.name());
            machine.drain();
        }
    }
}

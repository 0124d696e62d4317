package notchpick.model;

import notchpick.scheduling.JobSpec;

/**
 * An attempt to run a task, which is or may be on a machine. It holds resources there until it is certain that the task
 * is not there any more.
 */
public final class TaskAssignment {
    /** The progress of the task's launch. */
    public enum Phase {
        /** A former leader may have sent the launch command. */
        INHERITED,
        /** Decided by this leader; the launch record is not durable yet. */
        PLANNED,
        /** The launch record is durable, so that the launch command may be sent. */
        DURABLE,
        /** The launch command has been sent. */
        SENT,
        /** The worker has reported the task. */
        REPORTED
    }

    /** A start counts for the users' objectives only if the task then runs without interruption for half a minute. */
    private static final long MIN_UNDISTURBED_RUN_MS = 35_000;

    private final int task;
    private final Machine machine;
    private final String taskName;
    private JobSpec spec;
    private long attempt;
    private Phase phase;
    private boolean running;
    private boolean checkpointing;
    private long runningSinceMs;
    private boolean stopRequested;
    private double stopGraceS;
    private long jobOpenUntilMs;

    public TaskAssignment(JobSpec spec, int task, Machine machine, long attempt, Phase phase) {
        this.spec = spec;
        this.task = task;
        this.machine = machine;
        this.taskName = JobSpec.taskName(spec.id(), task);
        this.attempt = attempt;
        this.phase = phase;
    }

    /** The specification of the job, with its current priority and deadline. */
    public JobSpec spec() {
        return spec;
    }

    /** Replaces the specification; see {@link ClusterState#replaceSpec}. */
    void replaceSpec(JobSpec changed) {
        spec = changed;
    }

    public int task() {
        return task;
    }

    public Machine machine() {
        return machine;
    }

    public String taskName() {
        return taskName;
    }

    public long attempt() {
        return attempt;
    }

    public Phase phase() {
        return phase;
    }

    /** Whether the launch command has, or may have, been sent, so that only the worker's reports show its effect. */
    public boolean canBeOnWorker() {
        return phase == Phase.INHERITED || phase == Phase.SENT || phase == Phase.REPORTED;
    }

    /** Marks the launch record as durable, so that the launch command may be sent. */
    public void markLaunchDurable() {
        requirePhase(Phase.PLANNED);
        phase = Phase.DURABLE;
    }

    /** Marks the launch command as sent. */
    public void markLaunchSent() {
        requirePhase(Phase.DURABLE);
        phase = Phase.SENT;
    }

    /** Records that the worker has reported this attempt. */
    public void markReported(long reportedAttempt) {
        if (!canBeOnWorker()) {
            throw new IllegalStateException(
                    "task " + taskName + " was reported before its launch was sent, in phase " + phase);
        }
        attempt = reportedAttempt;
        phase = Phase.REPORTED;
    }

    private void requirePhase(Phase required) {
        if (phase != required) {
            throw new IllegalStateException("task " + taskName + " is in phase " + phase + ", expected " + required);
        }
    }

    public boolean isRunning() {
        return running;
    }

    /** Records that the task has its image and runs. */
    void markRunning(long nowMs) {
        running = true;
        runningSinceMs = nowMs;
    }

    /** When the task was first reported as running, in milliseconds of the steady clock; 0 if it has not been. */
    public long runningSinceMs() {
        return runningSinceMs;
    }

    public boolean isCheckpointing() {
        return checkpointing;
    }

    public void setCheckpointing(boolean value) {
        checkpointing = value;
    }

    public boolean isStopRequested() {
        return stopRequested;
    }

    /** The time that the stop command leaves the task to write a checkpoint, in seconds. */
    public double stopGraceS() {
        return stopGraceS;
    }

    /** Requests that the task write a checkpoint and stop. */
    public void requestCheckpointAndStop() {
        stopRequested = true;
        stopGraceS = Math.ceil(spec.checkpointWriteS());
    }

    /**
     * Requests that the task stop at once, because its job has ended.
     *
     * @param openUntilMs a time at which the job had certainly not been cancelled yet
     */
    public void requestImmediateStop(long openUntilMs) {
        stopRequested = true;
        stopGraceS = 0;
        jobOpenUntilMs = openUntilMs;
    }

    /** If the job has ended, a time at which it had certainly not been cancelled yet. */
    public long jobOpenUntilMs() {
        return jobOpenUntilMs;
    }

    /** Whether the task can be stopped without losing its work, and has run long enough for its start to count. */
    public boolean isPreemptible(long nowMs) {
        return spec.checkpointIntervalS() > 0
                && running
                && !checkpointing
                && !stopRequested
                && nowMs - runningSinceMs >= MIN_UNDISTURBED_RUN_MS;
    }
}

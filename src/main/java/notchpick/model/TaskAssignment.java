package notchpick.model;

import notchpick.scheduling.JobSpec;

/**
 * An attempt of a task that is, or may be, on a machine. It holds its resources there until it surely is not.
 */
public final class TaskAssignment {
    /** How far the launch of the task has come. */
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

    /** A start counts for the users' objectives only if the task then runs undisturbed for half a minute. */
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

    /** The specification of its job, with the priority and deadline that count at present. */
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

    /** Whether a launch command is, or may be, on its way or carried out: only the worker can tell what became of it. */
    public boolean canBeOnWorker() {
        return phase == Phase.INHERITED || phase == Phase.SENT || phase == Phase.REPORTED;
    }

    /** The launch record has become durable. */
    public void markLaunchDurable() {
        requirePhase(Phase.PLANNED);
        phase = Phase.DURABLE;
    }

    /** The launch command goes out. */
    public void markLaunchSent() {
        requirePhase(Phase.DURABLE);
        phase = Phase.SENT;
    }

    /** The worker has reported this attempt. */
    public void markReported(long reportedAttempt) {
        if (!canBeOnWorker()) {
            throw new IllegalStateException("task " + taskName + " is reported before its launch in phase " + phase);
        }
        attempt = reportedAttempt;
        phase = Phase.REPORTED;
    }

    private void requirePhase(Phase required) {
        if (phase != required) {
            throw new IllegalStateException("task " + taskName + " is in phase " + phase + ", not " + required);
        }
    }

    public boolean isRunning() {
        return running;
    }

    /** The task has its image and runs. */
    void markRunning(long now) {
        running = true;
        runningSinceMs = now;
    }

    /** When the task was first reported as running, in milliseconds; 0 if it was not. */
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

    /** The time to write a checkpoint that goes with the command to stop, in seconds. */
    public double stopGraceS() {
        return stopGraceS;
    }

    /** Has the task write a checkpoint and stop. */
    public void requestCheckpointAndStop() {
        stopRequested = true;
        stopGraceS = Math.ceil(spec.checkpointWriteS());
    }

    /**
     * The job has ended: the task is to stop at once.
     *
     * @param openUntilMs a time at which the job surely had not been cancelled yet
     */
    public void requestImmediateStop(long openUntilMs) {
        stopRequested = true;
        stopGraceS = 0;
        jobOpenUntilMs = openUntilMs;
    }

    /** If the job has ended, a time at which it surely had not been cancelled yet. */
    public long jobOpenUntilMs() {
        return jobOpenUntilMs;
    }

    /** Whether stopping the task now loses neither its work nor its users' count of its start. */
    public boolean isPreemptible(long now) {
        return spec.checkpointIntervalS() > 0
                && running
                && !checkpointing
                && !stopRequested
                && now - runningSinceMs >= MIN_UNDISTURBED_RUN_MS;
    }
}

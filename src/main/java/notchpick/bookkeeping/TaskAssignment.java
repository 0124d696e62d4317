package notchpick.bookkeeping;

import notchpick.scheduling.JobSpec;

/** A task that is, or may be, on a machine. It holds its resources there until it surely is not. */
public final class TaskAssignment {
    /** How sure it is that the task is there. */
    public enum Phase {
        /** A former leader may have sent it there. */
        HINTED,
        /** Decided here; its order waits for the start's record to be durable. */
        PLANNED,
        /** Its order is durable and may be sent. */
        READY,
        /** Its order has been sent. */
        SENT,
        /** The worker has reported it. */
        SEEN
    }

    /** Users count a start only if the task is then left alone for half a minute. */
    private static final long LEFT_ALONE_MS = 35_000;

    /** As its job's; see {@link ClusterState#respec}. */
    public JobSpec spec;

    public final int task;
    public final Machine machine;
    private final String taskName;
    public long attempt;
    public Phase phase;
    public boolean running;
    public boolean saving;
    public long runningSince;
    /** Null, or the time to save that goes with the order to stop. */
    public Double stopGraceS;
    /** If its job is over: that was not called off before. */
    public long overSince;

    public TaskAssignment(JobSpec spec, int task, Machine machine, long attempt, Phase phase) {
        this.spec = spec;
        this.task = task;
        this.machine = machine;
        this.taskName = JobSpec.taskName(spec.id(), task);
        this.attempt = attempt;
        this.phase = phase;
    }

    /** Whether stopping the task now loses neither its work nor its users' count of its start. */
    public boolean mayBeMoved(long now) {
        return spec.checkpointS() > 0
                && running
                && !saving
                && stopGraceS == null
                && now - runningSince >= LEFT_ALONE_MS;
    }

    public String taskName() {
        return taskName;
    }
}

package notchpick.model;

import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import notchpick.scheduling.JobSpec;

/** An open job and the state of its tasks: pending, leased for placement, assigned, or done. */
public final class Job {
    /** So many machines must have failed a job before the fault is taken to be its own. */
    private static final int FAILED_MACHINES_TO_SUSPECT = 3;
    /** So many tasks at a time show whether a suspected job can run after all. */
    private static final int TRIAL_TASKS = 2;
    /** The backoff between trials doubles up to this many heartbeat periods. */
    private static final int MAX_BACKOFF_PERIODS = 16;

    private final long version;
    private final BitSet done;
    private final BitSet durablyDone;
    private final BitSet pending;
    private final BitSet leased = new BitSet();
    /** How many machines each unfinished task is, or may be, on. */
    private final Map<Integer, Integer> assigned = new HashMap<>();

    private final Set<String> failedMachines = new HashSet<>();
    private JobSpec spec;
    private int runningTasks;
    private boolean blocked;
    private int backoffPeriods = 1;
    private long notBefore;
    private long skippedSinceMs;
    private long deferredSinceMs;
    private boolean spotTooSlow;
    private boolean spotUnavailable;

    /** @param version of its description in the state store, which is deleted when the job ends */
    public Job(JobSpec spec, long version) {
        this.spec = spec;
        this.version = version;
        this.done = new BitSet(spec.tasks());
        this.durablyDone = new BitSet(spec.tasks());
        this.pending = new BitSet(spec.tasks());
        this.pending.set(0, spec.tasks());
    }

    /** What its user asked for, with the priority and deadline inherited from the jobs that depend on it. */
    public JobSpec spec() {
        return spec;
    }

    /** Replaces the specification; see {@link ClusterState#replaceSpec}. */
    void replaceSpec(JobSpec changed) {
        spec = changed;
    }

    public String id() {
        return spec.id();
    }

    public long version() {
        return version;
    }

    // ---- completion ----------------------------------------------------------------------------

    public boolean isTaskDone(int task) {
        return done.get(task);
    }

    public int doneTasks() {
        return done.cardinality();
    }

    public int unfinishedTasks() {
        return spec.tasks() - done.cardinality();
    }

    public boolean isDone() {
        return !spec.isService() && done.cardinality() == spec.tasks();
    }

    /** The task has completed; false if that was known, or the job has no such task. */
    public boolean complete(int task) {
        if (task >= spec.tasks() || done.get(task) || spec.isService()) {
            return false;
        }
        done.set(task);
        pending.clear(task);
        return true;
    }

    /** The state store has the completion of the task. */
    public void markCompletionDurable(int task) {
        durablyDone.set(task);
    }

    /** How many completions the state store has. */
    public int durablyDoneTasks() {
        return durablyDone.cardinality();
    }

    /** Whether a worker may forget that the task has completed there. */
    public boolean canForgetCompletion(int task) {
        return spec.isService() || task >= spec.tasks() || durablyDone.get(task);
    }

    /** Which of {@code count} tasks from {@code first} on are done. */
    BitSet doneTasks(int first, int count) {
        return done.get(first, first + count);
    }

    // ---- placement -----------------------------------------------------------------------------

    public int pendingTasks() {
        return pending.cardinality();
    }

    public boolean isTaskPending(int task) {
        return pending.get(task);
    }

    /** The first pending task; -1 if there is none. */
    public int nextPendingTask() {
        return pending.nextSetBit(0);
    }

    public int leasedTasks() {
        return leased.cardinality();
    }

    /** The task is to be placed under a resource lease. */
    public void leaseTask(int task) {
        pending.clear(task);
        leased.set(task);
    }

    /** The resource lease of the task has ended. */
    public void returnLeasedTask(int task) {
        leased.clear(task);
        if (!done.get(task) && !assigned.containsKey(task)) {
            pending.set(task);
        }
    }

    /** Whether a task that a worker reports unexpectedly can be taken over as it is. */
    public boolean canAdopt(int task) {
        return task < spec.tasks() && !done.get(task) && !assigned.containsKey(task) && !leased.get(task);
    }

    /** The task is, or may be, on one more machine. */
    void assigned(int task) {
        assigned.merge(task, 1, Integer::sum);
        pending.clear(task);
    }

    /** The task surely is not on one of its machines any more; it is pending again if that was the last. */
    void unassigned(int task) {
        assigned.computeIfPresent(task, (t, count) -> count == 1 ? null : count - 1);
        if (!assigned.containsKey(task) && !done.get(task) && task < spec.tasks()) {
            pending.set(task);
        }
    }

    public int runningTasks() {
        return runningTasks;
    }

    void taskStartedRunning() {
        runningTasks++;
    }

    void taskStoppedRunning() {
        runningTasks--;
    }

    // ---- scheduling ----------------------------------------------------------------------------

    /** Whether it waits for dependencies, and therefore takes no part in scheduling. */
    public boolean isBlocked() {
        return blocked;
    }

    public void setBlocked(boolean value) {
        blocked = value;
    }

    /** Whether tasks wait for resources and may be launched. */
    public boolean isWaiting() {
        return !blocked && !pending.isEmpty() && (!isSuspectedFaulty() || startableTasks() > 0);
    }

    /** How many of its tasks are to run side by side, as far as there are resources. */
    public int desiredTasks() {
        return isSuspectedFaulty() ? Math.min(TRIAL_TASKS, unfinishedTasks()) : unfinishedTasks();
    }

    /** How many more of its tasks may be started. */
    public int startableTasks() {
        return isSuspectedFaulty()
                ? Math.max(0, TRIAL_TASKS - assigned.size() - leased.cardinality())
                : pending.cardinality();
    }

    /** A task of it has failed on the machine. */
    public void recordTaskFailure(String machine, long now, long heartbeatPeriodMs) {
        failedMachines.add(machine);
        // What fails of the same trial does not make the backoff any longer.
        if (isSuspectedFaulty() && now >= notBefore) {
            backoffPeriods = Math.min(MAX_BACKOFF_PERIODS, 2 * backoffPeriods);
            notBefore = now + heartbeatPeriodMs * backoffPeriods;
        }
    }

    /** Whether a task of it ever failed, so that some machine may be avoided. */
    public boolean hasTaskFailures() {
        return !failedMachines.isEmpty();
    }

    /**
     * Whether it was probably submitted with a mistake: several machines have failed it and none has completed
     * anything. Such a job gets a trial of few tasks now and then; with its full width it would take resources from
     * work that can run, and have sound machines quarantined.
     */
    public boolean isSuspectedFaulty() {
        return failedMachines.size() >= FAILED_MACHINES_TO_SUSPECT && done.isEmpty() && !spec.isService();
    }

    /** None of its tasks is launched before then. */
    public void backOffUntil(long atMs) {
        notBefore = atMs;
    }

    public boolean isBackingOff(long now) {
        return notBefore > now;
    }

    /** Since when its next task has been skipped for want of resources; 0: it has not. */
    public long skippedSinceMs() {
        return skippedSinceMs;
    }

    /** Its next task has been skipped, or has found resources (0). */
    public void setSkippedSinceMs(long atMs) {
        skippedSinceMs = atMs;
    }

    /** Since when other jobs have gone first where its image is missing; 0: they have not. */
    public long deferredSinceMs() {
        return deferredSinceMs;
    }

    /** Another job has gone first, or its own turn has come (0). */
    public void setDeferredSinceMs(long atMs) {
        deferredSinceMs = atMs;
    }

    /** Whether it would be late on spot machines alone. */
    public void setSpotTooSlow(boolean value) {
        spotTooSlow = value;
    }

    /** No spot machine was to be had that could run it; this stays so, lest its machine be released again. */
    public void markSpotUnavailable() {
        spotUnavailable = true;
    }

    /** On-demand machines are for jobs that need them, by their users' word or to meet their objective. */
    public boolean canUseOnDemand() {
        return spotTooSlow || spotUnavailable || !spec.spot();
    }
}

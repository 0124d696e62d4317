package notchpick.model;

import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import notchpick.scheduling.JobSpec;

/** An open job and the state of its tasks: pending, leased for placement, assigned, or done. */
public final class Job {
    /** Tasks must have failed on this many machines before the job itself is suspected to be faulty. */
    private static final int FAILED_MACHINES_TO_SUSPECT = 3;
    /** A suspected job runs this many tasks at a time, to find out whether it can run after all. */
    private static final int TRIAL_TASKS = 2;
    /** The backoff between trials doubles up to this many heartbeat periods. */
    private static final int MAX_BACKOFF_PERIODS = 16;

    private final long version;
    private final BitSet done;
    private final BitSet durablyDone;
    private final BitSet pending;
    private final BitSet leased = new BitSet();
    /** How many machines each task is, or may be, on; a task that is on none has no entry. */
    private final Map<Integer, Integer> machineCounts = new HashMap<>();

    private final Set<String> machinesWithFailures = new HashSet<>();
    private JobSpec spec;
    private int runningTasks;
    private boolean blocked;
    private int backoffPeriods = 1;
    private long notBeforeMs;
    private long skippedSinceMs;
    private long deferredSinceMs;
    private boolean spotTooSlow;
    private boolean spotUnavailable;

    /** @param version the version of the job's description in the state store, which is deleted when the job ends */
    public Job(JobSpec spec, long version) {
        this.spec = spec;
        this.version = version;
        this.done = new BitSet(spec.tasks());
        this.durablyDone = new BitSet(spec.tasks());
        this.pending = new BitSet(spec.tasks());
        this.pending.set(0, spec.tasks());
    }

    /** The specification as submitted, with the priority and deadline inherited from the jobs that depend on it. */
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

    /** Marks the task as done; false if it already was, if the job has no such task, or if the job is a service. */
    public boolean complete(int task) {
        if (task >= spec.tasks() || done.get(task) || spec.isService()) {
            return false;
        }
        done.set(task);
        pending.clear(task);
        return true;
    }

    /** Records that the state store has the completion of the task. */
    public void markCompletionDurable(int task) {
        durablyDone.set(task);
    }

    /** How many tasks are done and have their completion in the state store. */
    public int durablyDoneTasks() {
        return durablyDone.cardinality();
    }

    /** Whether a worker may drop its record of the completed task: the completion is durable, or of no use. */
    public boolean canForgetCompletion(int task) {
        return spec.isService() || task >= spec.tasks() || durablyDone.get(task);
    }

    /** Which of {@code count} tasks from {@code first} on are done. */
    BitSet doneTasks(int first, int count) {
        return done.get(first, first + count);
    }

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

    /** Sets the pending task aside to be placed under a resource lease. */
    public void leaseTask(int task) {
        pending.clear(task);
        leased.set(task);
    }

    /** Ends the resource lease of the task, which is pending again unless it is done or assigned. */
    public void returnLeasedTask(int task) {
        leased.clear(task);
        if (!done.get(task) && !machineCounts.containsKey(task)) {
            pending.set(task);
        }
    }

    /** Whether a task that a worker reports unexpectedly can be taken over as it is. */
    public boolean canAdopt(int task) {
        return task < spec.tasks() && !done.get(task) && !machineCounts.containsKey(task) && !leased.get(task);
    }

    /** Records that the task is, or may be, on one more machine. */
    void incrementMachines(int task) {
        machineCounts.merge(task, 1, Integer::sum);
        pending.clear(task);
    }

    /** Records that the task is no longer on one of its machines; it is pending again if that was the last. */
    void decrementMachines(int task) {
        machineCounts.computeIfPresent(task, (t, count) -> count == 1 ? null : count - 1);
        if (!machineCounts.containsKey(task) && !done.get(task) && task < spec.tasks()) {
            pending.set(task);
        }
    }

    public int runningTasks() {
        return runningTasks;
    }

    void incrementRunningTasks() {
        runningTasks++;
    }

    void decrementRunningTasks() {
        runningTasks--;
    }

    /** Whether the job waits for dependencies, and therefore takes no part in scheduling. */
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

    /** How many tasks of the job should run at once if there are enough resources. */
    public int desiredTasks() {
        return isSuspectedFaulty() ? Math.min(TRIAL_TASKS, unfinishedTasks()) : unfinishedTasks();
    }

    /** How many more tasks of the job may be started. */
    public int startableTasks() {
        return isSuspectedFaulty()
                ? Math.max(0, TRIAL_TASKS - machineCounts.size() - leased.cardinality())
                : pending.cardinality();
    }

    /** Records that a task of the job has failed on the machine. */
    public void recordTaskFailure(String machine, long nowMs, long heartbeatPeriodMs) {
        machinesWithFailures.add(machine);
        // Further failures in the same trial do not extend the backoff.
        if (isSuspectedFaulty() && nowMs >= notBeforeMs) {
            backoffPeriods = Math.min(MAX_BACKOFF_PERIODS, 2 * backoffPeriods);
            notBeforeMs = nowMs + heartbeatPeriodMs * backoffPeriods;
        }
    }

    /** Whether a task of the job has ever failed, so that the job may be avoiding some machine. */
    public boolean hasTaskFailures() {
        return !machinesWithFailures.isEmpty();
    }

    /**
     * Whether the job was probably submitted with a mistake: its tasks have failed on several machines, and none has
     * completed. Such a job only gets trials of a few tasks. If all its tasks were started, they would take resources
     * from jobs that can run, and cause healthy machines to be quarantined.
     */
    public boolean isSuspectedFaulty() {
        return machinesWithFailures.size() >= FAILED_MACHINES_TO_SUSPECT && done.isEmpty() && !spec.isService();
    }

    /** Prevents launches of the job's tasks before this time. */
    public void backOffUntil(long atMs) {
        notBeforeMs = atMs;
    }

    public boolean isBackingOff(long nowMs) {
        return notBeforeMs > nowMs;
    }

    /** Since when the job's next task has been skipped for lack of resources; 0 if it has not been skipped. */
    public long skippedSinceMs() {
        return skippedSinceMs;
    }

    /** Sets since when the job's next task has been skipped; 0 once it has found resources. */
    public void setSkippedSinceMs(long atMs) {
        skippedSinceMs = atMs;
    }

    /** Since when jobs whose image was already on a machine have been placed before this one; 0 if none has. */
    public long deferredSinceMs() {
        return deferredSinceMs;
    }

    /** Sets since when other jobs have been placed before this one; 0 once it has been placed itself. */
    public void setDeferredSinceMs(long atMs) {
        deferredSinceMs = atMs;
    }

    /** Sets whether spot machines alone are too slow: the job is within its team's guarantee, or it would be late. */
    public void setSpotTooSlow(boolean value) {
        spotTooSlow = value;
    }

    /**
     * Records that no spot machine is available that can run the job. This is never reset: the on-demand machine rented
     * for the job would otherwise be released again.
     */
    public void markSpotUnavailable() {
        spotUnavailable = true;
    }

    public boolean isSpotUnavailable() {
        return spotUnavailable;
    }

    /**
     * Whether on-demand machines may be rented for the job: its user chose them, or it needs them to run or to be on
     * time. Which of those that are up it may use is another question.
     */
    public boolean mayRentOnDemand() {
        return spotTooSlow || spotUnavailable || !spec.spot();
    }
}

package notchpick.bookkeeping;

import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import notchpick.scheduling.JobSpec;

/** An open job. */
public final class Job {
    /** So many machines must have failed a job before the mistake is taken to be its own. */
    private static final int MACHINES_TO_DOUBT = 3;
    /** So many tasks at a time show whether a doubted job can run after all. */
    private static final int TRIAL_TASKS = 2;
    /** The pause between trials doubles up to this many report periods. */
    private static final int LONGEST_PAUSE = 16;

    /** What its user asked for, with what it has taken over from the jobs that need it. */
    public JobSpec spec;
    /** Version of its description, which is deleted when the job ends. */
    public final long version;

    public final BitSet done;
    /** Those of the done tasks that the state service knows of. */
    public final BitSet durable;
    /** How many machines each unfinished task is, or may be, on. */
    public final Map<Integer, Integer> bound = new HashMap<>();
    /** Tasks that wait and may be started. */
    public final BitSet pending;
    /** Tasks in leased room. */
    public final BitSet leased = new BitSet();
    /** Machines on which tasks of it have failed. */
    private final Set<String> failedOn = new HashSet<>();

    private int pause = 1;
    /** Whether a task of it ever failed, so that some machine may be shunned. */
    public boolean hasFailed;

    public long notBefore;
    /** Since when its next task has been skipped for want of room; 0: not at all. */
    public long skippedSince;
    /** Since when others have gone first where its image was missing; 0: not at all. */
    public long deferredSince;

    public int running;
    /** Whether it still needs other jobs to be done: then it is there for its users alone. */
    public boolean held;
    /** Whether it would be late on cheap machines alone. */
    public boolean pressed;

    public Job(JobSpec spec, long version) {
        this.spec = spec;
        this.version = version;
        this.done = new BitSet(spec.tasks());
        this.durable = new BitSet(spec.tasks());
        this.pending = new BitSet(spec.tasks());
        this.pending.set(0, spec.tasks());
    }

    public int unfinished() {
        return spec.tasks() - done.cardinality();
    }

    public boolean isDone() {
        return !spec.isService() && done.cardinality() == spec.tasks();
    }

    /** Whether no cheap machine was to be had that could run it; stays so, lest its machine goes again. */
    public boolean stranded;

    /** Ordinary machines are for jobs that need them, by their users' word or to be in time. */
    public boolean mayUseOrdinary() {
        return pressed || stranded || !spec.spot();
    }

    /** A task of it has failed. */
    public void failed(String machine, long now, double reportMs) {
        failedOn.add(machine);
        hasFailed = true;
        // What fails of the same trial does not make the pause any longer.
        if (isDoubted() && now >= notBefore) {
            pause = Math.min(LONGEST_PAUSE, 2 * pause);
            notBefore = now + (long) (reportMs * pause);
        }
    }

    /**
     * Whether it was probably submitted with a mistake: several machines have failed it and none has
     * completed anything. Such a job gets a trial of few tasks now and then; with its full width it would take
     * room from work that can run, and give machines a bad name.
     */
    public boolean isDoubted() {
        return failedOn.size() >= MACHINES_TO_DOUBT && done.isEmpty() && !spec.isService();
    }

    /** How many of its tasks are to run side by side, as far as there is room. */
    public int wanted() {
        return isDoubted() ? Math.min(TRIAL_TASKS, unfinished()) : unfinished();
    }

    /** How many more of its tasks may be started. */
    public int startable() {
        return isDoubted() ? Math.max(0, TRIAL_TASKS - bound.size() - leased.cardinality()) : pending.cardinality();
    }

    public boolean waits() {
        return !held && !pending.isEmpty() && (!isDoubted() || startable() > 0);
    }

    /** The task is, or may be, on one more machine. */
    public void bind(int task) {
        bound.merge(task, 1, Integer::sum);
        pending.clear(task);
    }

    /** The task is surely not on one of its machines any more; it waits again if it was the last. */
    public void unbind(int task) {
        bound.computeIfPresent(task, (t, count) -> count == 1 ? null : count - 1);
        if (!bound.containsKey(task) && !done.get(task) && task < spec.tasks()) {
            pending.set(task);
        }
    }

    /** The task has completed; false if that was known, or the job has no such task. */
    public boolean finish(int task) {
        if (task >= spec.tasks() || done.get(task) || spec.isService()) {
            return false;
        }
        done.set(task);
        pending.clear(task);
        return true;
    }
}

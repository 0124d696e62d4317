package notchpick.model;

import java.util.BitSet;

/** Which tasks of a contiguous range of a job's tasks are done: the unit in which completions are written. */
public final class CompletionRange {
    private final Job job;
    private final int first;
    private final int count;
    private BitSet written = new BitSet();

    public CompletionRange(Job job, int first, int count) {
        this.job = job;
        this.first = first;
        this.count = count;
    }

    public Job job() {
        return job;
    }

    /** The index of the first task of the range. */
    public int first() {
        return first;
    }

    public int count() {
        return count;
    }

    /** The completions as they are now, which then are on their way to the state store. */
    public BitSet takeSnapshot() {
        written = job.doneTasks(first, count);
        return written;
    }

    /** The state store has the completions of the last write. */
    public void markSnapshotDurable() {
        written.stream().forEach(task -> job.markCompletionDurable(first + task));
    }
}

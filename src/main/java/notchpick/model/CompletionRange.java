package notchpick.model;

import java.util.BitSet;

/** A contiguous range of a job's tasks, and which of them are done: the unit in which completions are written. */
public final class CompletionRange {
    private final Job job;
    private final int first;
    private final int count;
    private BitSet lastSnapshot = new BitSet();

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

    /** Returns which tasks are done now, to be written, and keeps it until the write is durable. */
    public BitSet takeSnapshot() {
        lastSnapshot = job.doneTasks(first, count);
        return lastSnapshot;
    }

    /** Marks the completions of the last snapshot as durable. */
    public void markSnapshotDurable() {
        lastSnapshot.stream().forEach(task -> job.markCompletionDurable(first + task));
    }
}

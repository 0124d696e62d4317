package notchpick.bookkeeping;

import java.util.BitSet;

/** Which tasks of a run of a job's tasks are done; so much of a job is written as one. */
public final class DoneMarks {
    public final Job job;
    public final int first;
    public final int count;
    private BitSet written = new BitSet();

    public DoneMarks(Job job, int first, int count) {
        this.job = job;
        this.first = first;
        this.count = count;
    }

    /** The marks as they are now, which then are on their way. */
    BitSet write() {
        written = job.done.get(first, first + count);
        return written;
    }

    /** What was on its way has arrived. */
    public void durable() {
        written.stream().forEach(task -> job.durable.set(first + task));
    }
}

package notchpick.storage;

import java.util.BitSet;

/**
 * Recorded completions of a contiguous range of a job's tasks.
 *
 * @param completed the tasks that are done, counted from the first task of the range
 */
public record RecordedCompletions(String jobId, int firstTask, BitSet completed) {}

package notchpick.storage;

import java.util.BitSet;

/**
 * The recorded completions in a contiguous range of a job's tasks.
 *
 * @param completed the completed tasks; bit 0 is the first task of the range
 */
public record RecordedCompletions(String jobId, int firstTask, BitSet completed) {}

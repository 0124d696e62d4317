package notchpick.model;

import notchpick.scheduling.JobSpec;

/**
 * The status of a job. The record of an ended job is kept permanently.
 *
 * @param endedAtMs wall-clock time of its end, in milliseconds; 0 if an earlier version wrote the record
 */
public record JobRecord(JobStatus status, int tasks, int done, long endedAtMs, boolean service) {
    /** The record of a job that has been accepted and has not ended. */
    public static JobRecord open(JobSpec spec) {
        return new JobRecord(JobStatus.OPEN, spec.tasks(), 0, 0, spec.isService());
    }

    /** The record of a job whose tasks have all completed. */
    public static JobRecord done(JobSpec spec, long atMs) {
        return new JobRecord(JobStatus.DONE, spec.tasks(), spec.tasks(), atMs, spec.isService());
    }

    /** The record of the same job, cancelled at this wall-clock time. */
    public JobRecord cancelled(long atMs) {
        return new JobRecord(JobStatus.CANCELLED, tasks, 0, atMs, service);
    }
}

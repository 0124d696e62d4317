package notchpick.coordination.userapi;

import notchpick.model.JobRecord;

/** The result of reading a job from the state store. */
sealed interface JobLookup {
    /**
     * The job exists.
     *
     * @param version the version of the job's key among the open jobs; 0 if the job has ended
     */
    record Found(JobRecord record, long version) implements JobLookup {}

    /** There is no such job. */
    record NotFound() implements JobLookup {}

    /**
     * The job could not be read, so it may or may not exist.
     *
     * @param reason why the job could not be read, as text for users
     */
    record Unavailable(String reason) implements JobLookup {}
}

package notchpick.coordination.userapi;

import notchpick.model.JobRecord;

/** The result of reading a job from the state store. */
sealed interface JobLookup {
    /**
     * The job exists.
     *
     * @param version the version of its entry among the open jobs; 0 once it has ended
     */
    record Found(JobRecord record, long version) implements JobLookup {}

    /** There is no such job. */
    record NotFound() implements JobLookup {}

    /**
     * Whether there is such a job can't be said now.
     *
     * @param reason why, in words for users
     */
    record Unavailable(String reason) implements JobLookup {}
}

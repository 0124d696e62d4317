package notchpick.coordination.userapi;

/** Whether a job with these dependencies can be accepted. */
sealed interface DependencyVerdict {
    /**
     * All dependencies were accepted, and none is a service.
     *
     * @param cancelled whether a dependency was cancelled or depends on a cancelled job, which cancels this job, too
     */
    record Valid(boolean cancelled) implements DependencyVerdict {}

    /**
     * The dependencies can never be satisfied.
     *
     * @param reason why the job is rejected, as text for users
     */
    record Rejected(String reason) implements DependencyVerdict {}

    /** The dependencies could not be read from the state store, so the job can't be accepted now. */
    record Unavailable() implements DependencyVerdict {}
}

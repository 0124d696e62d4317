package notchpick.coordination.userapi;

/** Whether a job with these dependencies can be accepted. */
sealed interface DependencyVerdict {
    /**
     * All dependencies were accepted and can be done.
     *
     * @param cancelled whether one of them was cancelled, or depends on a cancelled job: so this one is cancelled, too
     */
    record Valid(boolean cancelled) implements DependencyVerdict {}

    /**
     * The dependencies can never be satisfied.
     *
     * @param reason why, in words for users
     */
    record Rejected(String reason) implements DependencyVerdict {}

    /** The dependencies can't be read now. */
    record Unavailable() implements DependencyVerdict {}
}

package notchpick.coordination.leader.term;

/** Counts the launches that a controller has withheld as a leader, over all its terms. */
public final class LaunchCounters {
    private long withdrawn;
    private long violations;

    /** Counts a launch that was permitted at its placement but not any more when its command was due. */
    void countWithdrawn() {
        withdrawn++;
    }

    /** Counts a start command that was about to be sent although it was not permitted. */
    void countViolation() {
        violations++;
    }

    /** How many launches were permitted at their placement but not any more when their command was due. */
    public long withdrawn() {
        return withdrawn;
    }

    /** How many start commands were withheld because they violated an invariant; more than 0 shows a bug. */
    public long violations() {
        return violations;
    }
}

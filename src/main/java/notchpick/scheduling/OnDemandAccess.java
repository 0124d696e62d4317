package notchpick.scheduling;

/** Which on-demand machines a job may use at present. */
public enum OnDemandAccess {
    /** None: the job accepts spot machines and waits for room on one. */
    NONE,
    /** Those that are up: their free resources cost nothing. */
    RUNNING_MACHINES,
    /** Those that are up, and those that are rented for the job. */
    RENTAL
}

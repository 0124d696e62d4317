package notchpick.scheduling;

/**
 * The demand of one job for machines.
 *
 * @param tasks the number of its unfinished tasks, including running ones
 * @param runS the expected run time of one task, in seconds
 * @param onDemandAccess which on-demand machines the job may use
 * @param runsAllTasksConcurrently whether all its tasks should run at the same time even if they are short
 */
public record JobDemand(
        JobSpec spec, int tasks, double runS, OnDemandAccess onDemandAccess, boolean runsAllTasksConcurrently) {
    /** How many tasks must run at the same time for all of them to end within the horizon. */
    int concurrentTasks(double horizonS) {
        if (runsAllTasksConcurrently || spec.isService()) {
            return tasks;
        }
        double runsPerSlot = Math.max(1, Math.floor(horizonS / Math.max(runS, 1)));
        return (int) Math.ceil(tasks / runsPerSlot);
    }

    boolean mayRentOnDemand() {
        return onDemandAccess == OnDemandAccess.RENTAL;
    }
}

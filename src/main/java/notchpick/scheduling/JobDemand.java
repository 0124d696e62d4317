package notchpick.scheduling;

/**
 * The demand of one job for machines.
 *
 * @param tasks the number of its unfinished tasks, including running ones
 * @param runS the expected run time of one task, in seconds
 * @param onDemandAllowed whether the job may use on-demand machines even if it accepts spot instances
 * @param runsAllTasksConcurrently whether all its tasks should run at the same time even if they are short
 */
public record JobDemand(
        JobSpec spec, int tasks, double runS, boolean onDemandAllowed, boolean runsAllTasksConcurrently) {
    /** How many tasks must run at the same time for all of them to end within the horizon. */
    int concurrentTasks(double horizonS) {
        if (runsAllTasksConcurrently || spec.isService()) {
            return tasks;
        }
        double runsPerSlot = Math.max(1, Math.floor(horizonS / Math.max(runS, 1)));
        return (int) Math.ceil(tasks / runsPerSlot);
    }

    boolean mayUseOnDemand() {
        return onDemandAllowed || !spec.spot();
    }
}

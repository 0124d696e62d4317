package notchpick.scheduling;

/**
 * The machines that one job could use.
 *
 * @param tasks its unfinished tasks, running ones included
 * @param runS the expected run time of one task
 * @param onDemandAllowed whether a job that accepts spot instances may have others too
 * @param runsAllTasksConcurrently whether all its tasks should run side by side, however short they are
 */
public record JobDemand(
        JobSpec spec, int tasks, double runS, boolean onDemandAllowed, boolean runsAllTasksConcurrently) {
    /** How many tasks must run side by side for all to end within the horizon. */
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

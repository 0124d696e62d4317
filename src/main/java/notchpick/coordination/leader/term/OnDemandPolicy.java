package notchpick.coordination.leader.term;

import notchpick.model.Job;
import notchpick.scheduling.OnDemandAccess;

/**
 * Decides which on-demand machines a job may use. Whether one is rented for a job is a question of money. Free resources
 * of one that is up may be used by any job that it fits; spot machines only go first for a short time. A policy holds for
 * the moment at which it was created, so that a round or a review treats all jobs by the same time.
 */
public final class OnDemandPolicy {
    /** How long a job that is ready waits for room on a spot machine, in heartbeat periods. */
    private static final int SPOT_WAIT_PERIODS = 6;

    /** The wall-clock time at which a job must have been ready to have waited for spot long enough. */
    private final long readyUntilMs;

    /** Creates the policy for the present time. */
    public OnDemandPolicy(TermContext context) {
        this.readyUntilMs = context.loop().wallTimeMs() - SPOT_WAIT_PERIODS * context.heartbeatPeriodMs();
    }

    /** Which on-demand machines the job may use. */
    public OnDemandAccess accessOf(Job job) {
        if (job.mayRentOnDemand()) {
            return OnDemandAccess.RENTAL;
        }
        // The time since which a job is ready is durable: the wait does not begin again with a new leader, nor when the
        // job has run and lost its machine.
        return job.spec().readyAtMs() > readyUntilMs ? OnDemandAccess.NONE : OnDemandAccess.RUNNING_MACHINES;
    }
}

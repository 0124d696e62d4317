package notchpick.coordination.leader.term;

import notchpick.model.Job;
import notchpick.scheduling.OnDemandAccess;

/**
 * Decides which on-demand machines a job may use. Whether one is rented for a job is a question of money. Free resources
 * of one that is up may be used by any job that it fits; spot machines only go first for a short time.
 */
public final class OnDemandPolicy {
    /** How long a job that is ready waits for room on a spot machine, in heartbeat periods. */
    private static final int SPOT_WAIT_PERIODS = 6;

    private final TermContext context;

    public OnDemandPolicy(TermContext context) {
        this.context = context;
    }

    /** Which on-demand machines the job may use now. */
    public OnDemandAccess accessOf(Job job) {
        if (job.mayRentOnDemand()) {
            return OnDemandAccess.RENTAL;
        }
        // The time since which a job is ready is durable: the wait does not begin again with a new leader, nor when the
        // job has run and lost its machine.
        double readyS = job.spec().ageS(context.loop().wallTimeMs());
        return readyS < SPOT_WAIT_PERIODS * context.deployment().heartbeatPeriodS()
                ? OnDemandAccess.NONE
                : OnDemandAccess.RUNNING_MACHINES;
    }
}

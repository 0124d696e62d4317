package notchpick.coordination.leader.term;

import static org.junit.jupiter.api.Assertions.assertEquals;

import notchpick.coordination.TestDeployments;
import notchpick.model.ClusterState;
import notchpick.model.Job;
import notchpick.model.MachineTypeCatalog;
import notchpick.scheduling.OnDemandAccess;
import notchpick.scheduling.RuntimeEstimator;
import notchpick.scheduling.TestJobs;
import notchpick.simulation.SimulatedTime;
import notchpick.transport.EventLoop;
import org.junit.jupiter.api.Test;

/** Spot machines go first, but no job waits for one while an on-demand machine that is up has room. */
class OnDemandPolicyTest {
    /** Six heartbeat periods. */
    private static final long SPOT_WAIT_MS = 18_000;

    private final SimulatedTime simulation = new SimulatedTime();
    private final EventLoop loop = simulation.newEventLoop(0, 0, () -> true);
    private final Job job = new Job(
            TestJobs.job("run-1").submittedAtMs(loop.wallTimeMs()).tasks(2).build(), 1);

    private OnDemandAccess accessInTerm(long term) {
        OnDemandPolicy policy = new OnDemandPolicy(new TermContext(
                term,
                loop,
                loop,
                TestDeployments.deployment(TestDeployments.TIMING),
                new ClusterState(ended -> {}),
                new MachineTypeCatalog(),
                new RuntimeEstimator()));
        return policy.accessOf(job);
    }

    @Test
    void jobUsesRunningMachinesAfterItHasWaitedForSpot() {
        simulation.runUntil(SPOT_WAIT_MS - 1);
        assertEquals(OnDemandAccess.NONE, accessInTerm(1));
        simulation.runUntil(SPOT_WAIT_MS);
        assertEquals(OnDemandAccess.RUNNING_MACHINES, accessInTerm(1));
    }

    /** A new leader does not know for how long its predecessor has skipped the job. */
    @Test
    void waitContinuesAcrossTerms() {
        simulation.runUntil(SPOT_WAIT_MS);
        assertEquals(OnDemandAccess.RUNNING_MACHINES, accessInTerm(2));
    }

    @Test
    void machinesAreRentedOnlyForJobsThatNeedThem() {
        job.setSpotTooSlow(true);
        assertEquals(OnDemandAccess.RENTAL, accessInTerm(1));
        job.setSpotTooSlow(false);
        assertEquals(OnDemandAccess.NONE, accessInTerm(1));
        job.markSpotUnavailable();
        assertEquals(OnDemandAccess.RENTAL, accessInTerm(1));
    }
}

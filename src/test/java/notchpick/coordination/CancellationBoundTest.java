package notchpick.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import notchpick.coordination.Deployment.WorkerTiming;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks the bounds on the time from the confirmation of a cancellation to the end of the last task, as derived in
 * design.md.
 */
class CancellationBoundTest {
    private static Deployment deployment(double heartbeatPeriodS, double leaseS, double cancelTimeoutS) {
        return TestDeployments.deployment(new WorkerTiming(heartbeatPeriodS, leaseS, cancelTimeoutS));
    }

    private static double leaderLeaseS(double leaseS) {
        return leaseS * Tuning.DEFAULT.leaderLeaseRatio();
    }

    /**
     * With usual settings, two sums fit into the timeout with a heartbeat period to spare: staleness bound plus worker
     * lease, and leader lease plus grace period plus worker lease.
     */
    @ParameterizedTest
    @CsvSource({"3, 22, 42, 16856", "5, 22, 42, 14856", "3, 29, 54, 21842", "5, 29, 54, 19842", "3, 20, 40, 16860"})
    void boundFitsTimeoutWithAHeartbeatPeriodToSpare(
            double heartbeatPeriodS, double leaseS, double cancelTimeoutS, long stalenessBoundMs) {
        Deployment deployment = deployment(heartbeatPeriodS, leaseS, cancelTimeoutS);
        double leaderS = leaderLeaseS(leaseS);
        assertEquals(stalenessBoundMs, deployment.stalenessBoundMs(leaderS));
        assertTrue(deployment.cancellationBoundMs(leaderS) <= 1000 * (cancelTimeoutS - heartbeatPeriodS));
        double lapsedLeaseBoundMs = 1000 * leaderS + deployment.gracePeriodMs(leaderS) + 1000 * leaseS;
        assertTrue(
                lapsedLeaseBoundMs <= 1000 * (cancelTimeoutS - heartbeatPeriodS),
                () -> "leader lease, grace period and worker lease take ms=" + lapsedLeaseBoundMs);
    }

    /**
     * With a timeout barely above the worker lease, the staleness bound is the leader lease and there is no grace period;
     * staleness bound plus worker lease still fit into the timeout.
     */
    @ParameterizedTest
    @CsvSource({"2, 20, 24, 23140", "3, 20, 23.5, 23140"})
    void boundFitsTimeoutWithoutGracePeriod(
            double heartbeatPeriodS, double leaseS, double cancelTimeoutS, long cancellationBoundMs) {
        Deployment deployment = deployment(heartbeatPeriodS, leaseS, cancelTimeoutS);
        double leaderS = leaderLeaseS(leaseS);
        assertEquals(cancellationBoundMs, deployment.cancellationBoundMs(leaderS));
        assertTrue(cancellationBoundMs <= 1000 * cancelTimeoutS);
        assertEquals(0, deployment.gracePeriodMs(leaderS));
    }

    /**
     * With a timeout not safely above the worker lease, a machine that can't be reached may run its tasks past the
     * timeout.
     */
    @ParameterizedTest
    @CsvSource({"3, 20, 20", "3, 20, 22", "5, 29, 10"})
    void boundExceedsTimeoutNotSafelyAboveWorkerLease(double heartbeatPeriodS, double leaseS, double cancelTimeoutS) {
        Deployment deployment = deployment(heartbeatPeriodS, leaseS, cancelTimeoutS);
        double leaderS = leaderLeaseS(leaseS);
        assertTrue(deployment.cancellationBoundMs(leaderS) > 1000 * cancelTimeoutS);
        assertEquals(Math.round(1000 * leaderS), deployment.stalenessBoundMs(leaderS));
        assertEquals(0, deployment.gracePeriodMs(leaderS));
    }
}

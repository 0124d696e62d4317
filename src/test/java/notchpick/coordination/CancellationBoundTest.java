package notchpick.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import notchpick.scheduling.ServiceObjectives;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** From a confirmation to the last task gone, term by term, as design.md argues it; in milliseconds and seconds. */
class CancellationBoundTest {
    private static Deployment deployment(double heartbeatPeriodS, double leaseS, double cancelTimeoutS) {
        return new Deployment(
                "n",
                "",
                "",
                List.of(),
                "",
                "",
                List.of(),
                List.of(),
                new ServiceObjectives(Map.of()),
                heartbeatPeriodS,
                leaseS,
                cancelTimeoutS,
                100,
                100,
                1000,
                12,
                1,
                1,
                100);
    }

    private static double leaderLeaseS(double leaseS) {
        return leaseS * Tuning.DEFAULT.leaderLeaseRatio();
    }

    /** The known deployments: what is known may be so old; claim, grace and lease fit in as well. */
    @ParameterizedTest
    @CsvSource({"3, 22, 42, 16856", "5, 22, 42, 14856", "3, 29, 54, 21842", "5, 29, 54, 19842", "3, 20, 40, 16860"})
    void fitsWithAReportPeriodToSpare(
            double heartbeatPeriodS, double leaseS, double cancelTimeoutS, long stalenessBoundMs) {
        Deployment deployment = deployment(heartbeatPeriodS, leaseS, cancelTimeoutS);
        double leaderS = leaderLeaseS(leaseS);
        assertEquals(stalenessBoundMs, deployment.stalenessBoundMs(leaderS));
        assertTrue(deployment.cancellationBoundMs(leaderS) <= 1000 * (cancelTimeoutS - heartbeatPeriodS));
        double lapsedMs = 1000 * leaderS + deployment.gracePeriodMs(leaderS) + 1000 * leaseS;
        assertTrue(
                lapsedMs <= 1000 * (cancelTimeoutS - heartbeatPeriodS),
                () -> "claim, grace and lease take " + lapsedMs);
    }

    /** Barely above the workers' lease: no more than a leader needs to go on, no grace, and still in time. */
    @ParameterizedTest
    @CsvSource({"2, 20, 24, 23140", "3, 20, 23.5, 23140"})
    void barelyFits(double heartbeatPeriodS, double leaseS, double cancelTimeoutS, long surelyMs) {
        Deployment deployment = deployment(heartbeatPeriodS, leaseS, cancelTimeoutS);
        double leaderS = leaderLeaseS(leaseS);
        assertEquals(surelyMs, deployment.cancellationBoundMs(leaderS));
        assertTrue(surelyMs <= 1000 * cancelTimeoutS);
        assertEquals(0, deployment.gracePeriodMs(leaderS));
    }

    /** Not above it: a machine that can't be reached keeps its tasks for longer, and the start says so. */
    @ParameterizedTest
    @CsvSource({"3, 20, 20", "3, 20, 22", "5, 29, 10"})
    void cannotBeKept(double heartbeatPeriodS, double leaseS, double cancelTimeoutS) {
        Deployment deployment = deployment(heartbeatPeriodS, leaseS, cancelTimeoutS);
        double leaderS = leaderLeaseS(leaseS);
        assertTrue(deployment.cancellationBoundMs(leaderS) > 1000 * cancelTimeoutS);
        assertEquals(Math.round(1000 * leaderS), deployment.stalenessBoundMs(leaderS));
        assertEquals(0, deployment.gracePeriodMs(leaderS));
    }
}

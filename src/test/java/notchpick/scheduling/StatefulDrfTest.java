package notchpick.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Worked examples of the paper's arithmetic. */
class StatefulDrfTest {
    private static final double TOLERANCE = 1e-12;

    @Test
    void shareOfAResourceWithoutTotalIsZero() {
        Resources share = StatefulDrf.share(new Resources(4, 0, 8), new Resources(16, 0, 64));
        assertEquals(new Resources(0.25, 0, 0.125), share);
    }

    @Test
    void overuseIsTheShareAboveTheEqualShare() {
        Resources share = new Resources(0.75, 0, 0.25);
        assertEquals(new Resources(0.25, 0, 0), StatefulDrf.overuse(share, 2));
        // One team alone can't overuse; with a third team the equal share shrinks.
        assertEquals(Resources.NONE, StatefulDrf.overuse(new Resources(1, 1, 1), 1));
        assertEquals(0.75 - 1.0 / 3, StatefulDrf.overuse(share, 3).cores(), TOLERANCE);
    }

    @Test
    void commitmentFollowsOveruseWithExponentialMemory() {
        Resources over = new Resources(0.5, 0, 0);
        double tauS = 120;
        assertEquals(
                0.5 * (1 - Math.exp(-1)),
                StatefulDrf.commitment(Resources.NONE, over, tauS, tauS).cores(),
                TOLERANCE);
        assertEquals(
                0.4 * Math.exp(-0.5),
                StatefulDrf.commitment(new Resources(0.4, 0, 0), Resources.NONE, 60, tauS)
                        .cores(),
                TOLERANCE);
        // The commitment changes neither after no time nor after a clock was set back.
        assertEquals(
                0.4,
                StatefulDrf.commitment(new Resources(0.4, 0, 0), over, 0, tauS).cores(),
                TOLERANCE);
        assertEquals(
                0.4,
                StatefulDrf.commitment(new Resources(0.4, 0, 0), over, -5, tauS).cores(),
                TOLERANCE);
    }

    @Test
    void oneLongStepEqualsManyShortOnes() {
        Random random = new Random(5);
        for (int i = 0; i < 100; i++) {
            Resources over = new Resources(random.nextDouble(), random.nextDouble(), random.nextDouble());
            Resources start = new Resources(random.nextDouble(), random.nextDouble(), random.nextDouble());
            Resources steps = start;
            for (int step = 0; step < 10; step++) {
                steps = StatefulDrf.commitment(steps, over, 7, 120);
            }
            Resources once = StatefulDrf.commitment(start, over, 70, 120);
            assertEquals(once.cores(), steps.cores(), 1e-9);
            assertEquals(once.ram(), steps.ram(), 1e-9);
        }
    }

    @Test
    void lowerCommitmentRanksFirstForEqualShares() {
        Resources share = new Resources(0.2, 0, 0.1);
        Resources committed = new Resources(0, 0, 0.3);
        assertEquals(0.5, StatefulDrf.rank(share, committed), TOLERANCE);
        assertTrue(StatefulDrf.rank(share, Resources.NONE) < StatefulDrf.rank(share, committed));
    }
}

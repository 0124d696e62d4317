package notchpick.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Worked examples of the paper's arithmetic. */
class SdrfTest {
    private static final double TINY = 1e-12;

    @Test
    void shareOfAResourceOfWhichThereIsNoneIsZero() {
        Amounts share = Sdrf.share(new Amounts(4, 0, 8), new Amounts(16, 0, 64));
        assertEquals(new Amounts(0.25, 0, 0.125), share);
    }

    @Test
    void overuseIsWhatGoesBeyondAnEqualPart() {
        Amounts share = new Amounts(0.75, 0, 0.25);
        assertEquals(new Amounts(0.25, 0, 0), Sdrf.overuse(share, 2));
        // One team alone can't overuse; with a third team the equal part shrinks.
        assertEquals(Amounts.NONE, Sdrf.overuse(new Amounts(1, 1, 1), 1));
        assertEquals(0.75 - 1.0 / 3, Sdrf.overuse(share, 3).cores(), TINY);
    }

    @Test
    void commitmentFollowsOveruseWithItsMemory() {
        Amounts over = new Amounts(0.5, 0, 0);
        double tau = 120;
        assertEquals(
                0.5 * (1 - Math.exp(-1)),
                Sdrf.commitment(Amounts.NONE, over, tau, tau).cores(),
                TINY);
        assertEquals(
                0.4 * Math.exp(-0.5),
                Sdrf.commitment(new Amounts(0.4, 0, 0), Amounts.NONE, 60, tau).cores(),
                TINY);
        // No time, no change; and time that seems to run backwards changes nothing either.
        assertEquals(0.4, Sdrf.commitment(new Amounts(0.4, 0, 0), over, 0, tau).cores(), TINY);
        assertEquals(0.4, Sdrf.commitment(new Amounts(0.4, 0, 0), over, -5, tau).cores(), TINY);
    }

    @Test
    void oneLongStepEqualsManyShortOnes() {
        Random random = new Random(5);
        for (int i = 0; i < 100; i++) {
            Amounts over = new Amounts(random.nextDouble(), random.nextDouble(), random.nextDouble());
            Amounts start = new Amounts(random.nextDouble(), random.nextDouble(), random.nextDouble());
            Amounts steps = start;
            for (int step = 0; step < 10; step++) {
                steps = Sdrf.commitment(steps, over, 7, 120);
            }
            Amounts once = Sdrf.commitment(start, over, 70, 120);
            assertEquals(once.cores(), steps.cores(), 1e-9);
            assertEquals(once.ram(), steps.ram(), 1e-9);
        }
    }

    @Test
    void thePastOutranksTheSameShare() {
        Amounts share = new Amounts(0.2, 0, 0.1);
        Amounts committed = new Amounts(0, 0, 0.3);
        assertEquals(0.5, Sdrf.rank(share, committed), TINY);
        assertTrue(Sdrf.rank(share, Amounts.NONE) < Sdrf.rank(share, committed));
    }
}

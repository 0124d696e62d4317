package notchpick;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A short soak on real processes; {@link Soak} runs it for longer. */
class SoakTest {
    private static final int FIRST_SEED = 1;
    private static final int SEEDS = 3;
    private static final long LENGTH_MS = 30_000;

    @Test
    void rulesHoldOnRealProcessesUnderFaults() throws Exception {
        for (SoakRun.Outcome outcome : Soak.run(FIRST_SEED, SEEDS, LENGTH_MS, SEEDS)) {
            assertEquals(List.of(), outcome.violations(), "seed " + outcome.seed() + ":\n" + outcome.eventLog());
        }
    }
}

package notchpick.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import notchpick.simulation.SimulatedTime;
import org.junit.jupiter.api.Test;

/** A token bucket refills at its rate, up to its capacity. */
class TokenBucketTest {
    private final SimulatedTime simulation = new SimulatedTime();
    private final TokenBucket bucket = new TokenBucket(simulation.newEventLoop(0, 0, () -> true), 100, 20, 5);

    @Test
    void refillsAtItsRateUpToItsCapacity() {
        assertEquals(5, bucket.available());
        simulation.runUntil(simulation.nowMs() + 100);
        assertEquals(15, bucket.available());
        simulation.runUntil(simulation.nowMs() + 100);
        assertEquals(20, bucket.available());
    }

    @Test
    void allowsTakingMoreTokensThanAvailable() {
        bucket.take(8);
        assertEquals(-3, bucket.available());
        assertEquals(40, bucket.msUntil(1));
        simulation.runUntil(simulation.nowMs() + 40);
        assertEquals(1, bucket.available());
        assertEquals(0, bucket.msUntil(1));
    }
}

package notchpick.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests when requests to the state store return from a relay to the direct link, and the circuit breaker. */
class StateStorePathTest {
    private static final long SETTLE_MS = 3000;
    private static final long BREAKER_OPEN_MS = 750;

    private final StateStorePath path = new StateStorePath(SETTLE_MS, BREAKER_OPEN_MS);

    @Test
    void isDirectInitially() {
        assertFalse(path.isRelayed());
        assertEquals(0, path.relayedForMs(100));
        assertFalse(path.isBreakerOpen(100));
        assertFalse(path.hasDirectSuccessSince(1));
    }

    @Test
    void measuresTimeRelayed() {
        path.switchTo("n-1", 100);
        assertTrue(path.isRelayedBy("n-1"));
        assertFalse(path.isRelayedBy("n-2"));
        assertEquals(50, path.relayedForMs(150));
    }

    @Test
    void restoresDirectLinkAfterSettleTime() {
        path.switchTo("n-1", 100);
        path.recordDirectSuccess(200);
        path.recordDirectSuccess(200 + SETTLE_MS - 1);
        assertFalse(path.isDirectRestored(200 + SETTLE_MS - 1));
        path.recordDirectSuccess(200 + SETTLE_MS);
        assertTrue(path.isDirectRestored(200 + SETTLE_MS));
    }

    @Test
    void doesNotRestoreFlappingDirectLink() {
        path.switchTo("n-1", 100);
        path.recordDirectSuccess(200);
        path.recordDirectFailure();
        path.recordDirectSuccess(300);
        assertFalse(path.isDirectRestored(200 + SETTLE_MS));
        assertTrue(path.isDirectRestored(300 + SETTLE_MS));
    }

    @Test
    void ignoresDirectSuccessBeforeSwitch() {
        path.recordDirectSuccess(100);
        path.switchTo("n-1", 200);
        assertFalse(path.isDirectRestored(200 + SETTLE_MS));
    }

    @Test
    void closesBreakerAfterOpenTime() {
        path.openBreaker(100);
        assertTrue(path.isBreakerOpen(100 + BREAKER_OPEN_MS - 1));
        assertFalse(path.isBreakerOpen(100 + BREAKER_OPEN_MS));
    }
}

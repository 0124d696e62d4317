package notchpick.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When requests to the state store are relayed, and when they go directly again. */
class StateStorePathTest {
    private static final long SETTLE_MS = 3000;
    private static final long BREAKER_OPEN_MS = 750;

    private final StateStorePath path = new StateStorePath(SETTLE_MS, BREAKER_OPEN_MS);

    @Test
    void isDirectAtFirst() {
        assertFalse(path.isRelayed());
        assertEquals(0, path.relayedForMs(100));
        assertFalse(path.isBreakerOpen(100));
        assertFalse(path.hasDirectSuccessSince(1));
    }

    @Test
    void countsHowLongItIsRelayed() {
        path.switchTo("n-1", 100);
        assertTrue(path.isRelayedBy("n-1"));
        assertFalse(path.isRelayedBy("n-2"));
        assertEquals(50, path.relayedForMs(150));
    }

    @Test
    void restoresTheDirectLinkOnceItHasServedForTheSettleTime() {
        path.switchTo("n-1", 100);
        path.recordDirectSuccess(200);
        path.recordDirectSuccess(200 + SETTLE_MS - 1);
        assertFalse(path.isDirectRestored(200 + SETTLE_MS - 1));
        path.recordDirectSuccess(200 + SETTLE_MS);
        assertTrue(path.isDirectRestored(200 + SETTLE_MS));
    }

    @Test
    void doesNotRestoreADirectLinkThatFlaps() {
        path.switchTo("n-1", 100);
        path.recordDirectSuccess(200);
        path.recordDirectFailure();
        path.recordDirectSuccess(300);
        assertFalse(path.isDirectRestored(200 + SETTLE_MS));
        assertTrue(path.isDirectRestored(300 + SETTLE_MS));
    }

    @Test
    void whatTheDirectLinkServedBeforeTheSwitchDoesNotRestoreIt() {
        path.recordDirectSuccess(100);
        path.switchTo("n-1", 200);
        assertFalse(path.isDirectRestored(200 + SETTLE_MS));
    }

    @Test
    void breakerClosesAfterItsTime() {
        path.openBreaker(100);
        assertTrue(path.isBreakerOpen(100 + BREAKER_OPEN_MS - 1));
        assertFalse(path.isBreakerOpen(100 + BREAKER_OPEN_MS));
    }
}

package notchpick.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests when a worker counts as relayed, and the backoff before it is redirected to the leader again. */
class WorkerRouteTest {
    private static final long INITIAL_BACKOFF_MS = 100;
    private static final long MAX_BACKOFF_MS = 1000;

    private final WorkerRoute route = new WorkerRoute(4);

    @Test
    void isNotRelayedInitially() {
        assertEquals(4, route.term());
        assertFalse(route.hasEverBeenRelayed());
        assertFalse(route.isRelayedWithin(1000, 50));
    }

    @Test
    void redirectToLeaderEndsRelaying() {
        route.recordRelayedReply(100);
        assertTrue(route.isRelayedWithin(50, 150));
        assertFalse(route.isRelayedWithin(50, 151));
        route.recordRedirectToLeader(120);
        assertFalse(route.isRelayedWithin(50, 150));
        assertTrue(route.isRedirectedToLeaderWithin(30, 150));
    }

    @Test
    void doublesBackoffUpToMaximum() {
        route.recordFailedRedirect(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS, 0);
        assertFalse(route.isRedirectBackoffOver(2 * INITIAL_BACKOFF_MS - 1));
        assertTrue(route.isRedirectBackoffOver(2 * INITIAL_BACKOFF_MS));
        route.recordFailedRedirect(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS, 0);
        assertFalse(route.isRedirectBackoffOver(4 * INITIAL_BACKOFF_MS - 1));
        for (int i = 0; i < 100; i++) {
            route.recordFailedRedirect(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS, 0);
        }
        assertFalse(route.isRedirectBackoffOver(MAX_BACKOFF_MS - 1));
        assertTrue(route.isRedirectBackoffOver(MAX_BACKOFF_MS));
    }

    @Test
    void recognizesNextHeartbeatBySequenceNumber() {
        route.recordHeartbeat(7, 100);
        assertTrue(route.isNextInSequence(8));
        assertFalse(route.isNextInSequence(9));
        assertTrue(route.hasHeartbeatWithin(10, 110));
        assertFalse(route.hasHeartbeatWithin(10, 111));
    }
}

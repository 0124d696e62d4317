package notchpick.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the view that a controller has of the leader and of its own leadership. */
class ElectionStateTest {
    private final ElectionState state = new ElectionState("n-0");

    @Test
    void restartsVacancyWhenKeyWasNotMissing() {
        state.recordVacancy(100);
        state.recordVacancy(150);
        assertTrue(state.isVacantFor(50, 150));
        state.clearVacancy();
        state.recordVacancy(200);
        assertFalse(state.isVacantFor(50, 249));
        assertTrue(state.isVacantFor(50, 250));
    }

    @Test
    void ignoresLeaderOfOlderTerm() {
        state.recordLeader(5, "n-1");
        state.recordLeader(4, "n-2");
        assertEquals("n-1", state.leader());
        assertEquals(5, state.term());
    }

    @Test
    void acceptsOnlyLaterTermFromPeer() {
        state.recordLeader(5, "n-1");
        assertFalse(state.observeTerm(5, "n-2"));
        assertEquals("n-1", state.leader());
        assertTrue(state.observeTerm(6, "n-2"));
        assertEquals("n-2", state.leader());
    }

    @Test
    void distinguishesLeadershipsAfterResignation() {
        state.startLeading(1, 11);
        long generation = state.generation();
        assertTrue(state.isLeadingSince(generation));
        state.stopLeading();
        assertFalse(state.isLeadingSince(generation));
        state.startLeading(2, 12);
        assertFalse(state.isLeadingSince(generation));
        assertEquals(12, state.lease());
    }

    @Test
    void distinguishesLeadershipsAfterLeaseExpiry() {
        state.startLeading(1, 11);
        long generation = state.generation();
        state.loseLease();
        assertNull(state.leader());
        state.startLeading(2, 12);
        assertFalse(state.isLeadingSince(generation));
    }

    @Test
    void resignationKeepsOtherKnownLeader() {
        state.startLeading(1, 11);
        state.observeTerm(2, "n-1");
        state.stopLeading();
        assertEquals("n-1", state.leader());
    }

    @Test
    void resignationClearsOwnLeadership() {
        state.startLeading(1, 11);
        state.stopLeading();
        assertNull(state.leader());
        assertFalse(state.isLeading());
    }

    @Test
    void holdsOffUntilGivenTime() {
        assertTrue(state.isHoldoffOver(0));
        state.holdOffUntil(100);
        assertFalse(state.isHoldoffOver(99));
        assertTrue(state.isHoldoffOver(100));
    }
}

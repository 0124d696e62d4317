package notchpick.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
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

    private void elect(long term, long lease) {
        state.startCampaign();
        state.startLeading(term, lease);
    }

    @Test
    void distinguishesLeadershipsAfterResignation() {
        elect(1, 11);
        long generation = state.generation();
        assertTrue(state.isLeading());
        assertTrue(state.isCurrent(generation));
        state.stopLeading();
        assertFalse(state.isLeading());
        assertFalse(state.isCurrent(generation));
        elect(2, 12);
        assertFalse(state.isCurrent(generation));
        assertEquals(12, state.lease());
    }

    @Test
    void distinguishesLeadershipsAfterLeaseExpiry() {
        elect(1, 11);
        long generation = state.generation();
        state.loseLease();
        assertFalse(state.isLeading());
        assertNull(state.leader());
        elect(2, 12);
        assertFalse(state.isCurrent(generation));
    }

    @Test
    void abandonedCampaignCanNotBeWon() {
        long following = state.generation();
        state.startCampaign();
        long campaign = state.generation();
        assertFalse(state.isFollowing());
        assertFalse(state.isCurrent(following));
        state.abandonCampaign();
        assertTrue(state.isFollowing());
        assertFalse(state.isCurrent(following));
        assertFalse(state.isCurrent(campaign));
        assertThrows(IllegalStateException.class, () -> state.startLeading(1, 11));
    }

    @Test
    void followsCampaignsOrLeadsButNotTwoAtATime() {
        assertThrows(IllegalStateException.class, state::stopLeading);
        state.startCampaign();
        assertThrows(IllegalStateException.class, state::startCampaign);
        assertThrows(IllegalStateException.class, state::stopLeading);
        state.startLeading(1, 11);
        assertThrows(IllegalStateException.class, state::startCampaign);
        assertThrows(IllegalStateException.class, () -> state.startLeading(2, 12));
        assertEquals(1, state.term());
    }

    @Test
    void resignationKeepsOtherKnownLeader() {
        elect(1, 11);
        state.observeTerm(2, "n-1");
        state.stopLeading();
        assertEquals("n-1", state.leader());
    }

    @Test
    void resignationClearsOwnLeadership() {
        elect(1, 11);
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

package notchpick.simulation;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import notchpick.protocol.Json;
import notchpick.simulation.StateStoreData.Entry;
import org.junit.jupiter.api.Test;

/** Tests that a renewal after the end of the leader's own lease is detected, and that lawful ones are not. */
class ResignedTermsTest {
    private static final Entry LEADER_KEY =
            new Entry(Json.object().put("node", "n-0").put("term", 4), 20, 7);

    private final ResignedTerms resigned = new ResignedTerms();

    @Test
    void detectsRenewalOfLaterHeartbeatInSameTerm() {
        resigned.recordLeaseEnd(7, LEADER_KEY, 1000);
        assertTrue(resigned.hadResignedBefore(4, 1001));
    }

    @Test
    void allowsRenewalOfEarlierHeartbeatAndOtherTerms() {
        resigned.recordLeaseEnd(7, LEADER_KEY, 1000);
        assertFalse(resigned.hadResignedBefore(4, 1000));
        assertFalse(resigned.hadResignedBefore(5, 1001));
    }

    @Test
    void ignoresLeasesWithoutLeaderKey() {
        resigned.recordLeaseEnd(8, LEADER_KEY, 1000);
        resigned.recordLeaseEnd(7, null, 1000);
        assertFalse(resigned.hadResignedBefore(4, 1001));
    }
}

package notchpick.simulation;

import java.util.HashMap;
import java.util.Map;
import notchpick.simulation.StateStoreData.Entry;

/**
 * The terms whose leaders have ended the lease of their own leader key. The next leader relies on such a term being
 * over: no heartbeat that was sent later may be answered with its token.
 */
final class ResignedTerms {
    private final Map<Long, Long> endedAtMs = new HashMap<>();

    /**
     * Records that a lease is ended at the request of its holder.
     *
     * @param leaderKey the leader key before the lease ends; null if it does not exist
     */
    void recordLeaseEnd(long lease, Entry leaderKey, long nowMs) {
        if (leaderKey != null && leaderKey.lease() == lease) {
            endedAtMs.putIfAbsent(leaderKey.value().path("term").asLong(), nowMs);
        }
    }

    /** Whether the leader of the term had ended its lease before the given time. */
    boolean hadResignedBefore(long term, long atMs) {
        return endedAtMs.getOrDefault(term, Long.MAX_VALUE) < atMs;
    }
}

package notchpick.simulation;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import notchpick.transport.Timer;

/** The leases of the state store. A lease that is not renewed in time ends, and the keys bound to it are deleted. */
final class StateStoreLeases {
    /** Called when a lease has ended. */
    interface EndListener {
        void leaseEnded(long lease);
    }

    private final LongSupplier clock;
    private final Timer timer;
    private final StateStoreFaults faults;
    private final EndListener listener;
    private final Map<Long, Long> expiresAtMs = new HashMap<>();
    private final Map<Long, Long> durationsMs = new HashMap<>();
    private long lastLease;

    StateStoreLeases(LongSupplier clock, Timer timer, StateStoreFaults faults, EndListener listener) {
        this.clock = clock;
        this.timer = timer;
        this.faults = faults;
        this.listener = listener;
    }

    boolean exists(long lease) {
        return expiresAtMs.containsKey(lease);
    }

    /** Grants a lease and returns its number. */
    long grant(long durationMs) {
        long lease = ++lastLease;
        durationsMs.put(lease, durationMs);
        extend(lease, durationMs);
        return lease;
    }

    void renew(long lease) {
        extend(lease, durationsMs.get(lease));
    }

    /** Renews every lease for its full duration, so that no lease loses time in an outage. */
    void renewAll() {
        durationsMs.forEach(this::extend);
    }

    /** Ends the lease now; the listener deletes the keys bound to it. */
    void end(long lease) {
        expiresAtMs.remove(lease);
        durationsMs.remove(lease);
        listener.leaseEnded(lease);
    }

    private void extend(long lease, long durationMs) {
        long expiryMs = clock.getAsLong() + durationMs;
        expiresAtMs.put(lease, expiryMs);
        timer.schedule(expiryMs - clock.getAsLong() + 1, () -> {
            Long currentExpiryMs = expiresAtMs.get(lease);
            if (currentExpiryMs != null && currentExpiryMs <= clock.getAsLong() && !faults.isOutage()) {
                end(lease);
            }
        });
    }
}

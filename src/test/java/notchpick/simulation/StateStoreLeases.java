package notchpick.simulation;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import notchpick.transport.Timer;

/** The leases of the state store: a lease that is not kept alive ends, and its keys with it. */
final class StateStoreLeases {
    /** Is notified when a lease has ended. */
    interface EndListener {
        void leaseEnded(long lease);
    }

    private final LongSupplier clock;
    private final Timer timer;
    private final StateStoreFaults faults;
    private final EndListener listener;
    private final Map<Long, Long> expiresAt = new HashMap<>();
    private final Map<Long, Long> durationsMs = new HashMap<>();
    private long lastLease;

    StateStoreLeases(LongSupplier clock, Timer timer, StateStoreFaults faults, EndListener listener) {
        this.clock = clock;
        this.timer = timer;
        this.faults = faults;
        this.listener = listener;
    }

    boolean exists(long lease) {
        return expiresAt.containsKey(lease);
    }

    /** Grants a lease and answers its number. */
    long grant(long durationMs) {
        long lease = ++lastLease;
        durationsMs.put(lease, durationMs);
        extend(lease, durationMs);
        return lease;
    }

    void keepAlive(long lease) {
        extend(lease, durationsMs.get(lease));
    }

    /** After an outage no lease has lost time. */
    void keepAllAlive() {
        durationsMs.forEach(this::extend);
    }

    /** The lease ends now, with the keys that are bound to it. */
    void end(long lease) {
        expiresAt.remove(lease);
        durationsMs.remove(lease);
        listener.leaseEnded(lease);
    }

    private void extend(long lease, long durationMs) {
        long end = clock.getAsLong() + durationMs;
        expiresAt.put(lease, end);
        timer.schedule(end - clock.getAsLong() + 1, () -> {
            Long current = expiresAt.get(lease);
            if (current != null && current <= clock.getAsLong() && !faults.isOutage()) {
                end(lease);
            }
        });
    }
}

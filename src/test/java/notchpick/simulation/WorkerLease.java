package notchpick.simulation;

/**
 * A worker's lease: as long as heartbeats are answered, the worker keeps its tasks. With each expiry it begins another
 * incarnation, so that orders meant for the former one are void.
 */
final class WorkerLease {
    /** Is notified when the lease has expired. */
    interface ExpiryListener {
        void leaseExpired();
    }

    private final SimulatedTime time;
    private final long leaseMs;
    private final WorkerFaults faults;
    private final ExpiryListener listener;
    private long incarnation = 1;
    private long token;
    private long renewedAtMs;

    WorkerLease(SimulatedTime time, long leaseMs, WorkerFaults faults, ExpiryListener listener) {
        this.time = time;
        this.leaseMs = leaseMs;
        this.faults = faults;
        this.listener = listener;
        this.renewedAtMs = time.nowMs();
    }

    long incarnation() {
        return incarnation;
    }

    /** The highest fencing token that the worker has seen. */
    long token() {
        return token;
    }

    void raiseToken(long newToken) {
        token = newToken;
    }

    /** The lease runs from the moment at which the answered heartbeat was sent. */
    void renew(long sentAtMs) {
        renewedAtMs = Math.max(renewedAtMs, sentAtMs);
        scheduleExpiry();
    }

    /** Ends the incarnation unless the lease is renewed until then. */
    void scheduleExpiry() {
        long renewedAtBeforeMs = renewedAtMs;
        time.schedule(renewedAtBeforeMs + leaseMs - time.nowMs() + 1, () -> {
            if (faults.isTerminated()) {
                return;
            }
            if (renewedAtMs == renewedAtBeforeMs) {
                incarnation++;
                renewedAtMs = time.nowMs();
                listener.leaseExpired();
            }
            scheduleExpiry();
        });
    }
}

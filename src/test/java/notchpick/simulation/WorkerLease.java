package notchpick.simulation;

/**
 * A worker's lease, which answered heartbeats renew. When it expires, the worker's tasks are killed and a new
 * incarnation begins, so that orders for the old one are ignored.
 */
final class WorkerLease {
    /** Called when the lease has expired. */
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

    /** The highest fencing token that the worker has seen; 0 if none. */
    long token() {
        return token;
    }

    void raiseToken(long newToken) {
        token = newToken;
    }

    /** Renews the lease from the time at which the answered heartbeat was sent. */
    void renew(long sentAtMs) {
        renewedAtMs = Math.max(renewedAtMs, sentAtMs);
        scheduleExpiry();
    }

    /** Schedules the end of the incarnation at the lease's expiry; cancelled by a renewal before then. */
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

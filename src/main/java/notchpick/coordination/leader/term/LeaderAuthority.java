package notchpick.coordination.leader.term;

import java.util.function.LongSupplier;
import notchpick.coordination.Deployment;

/**
 * Decides what the leader may currently send to workers; no other class decides this. The decision depends on the age
 * of the leader lease and on the age of the last complete read of users' cancellations. The two ages differ because
 * lease renewals and reads may take different paths. A cancellation that this leader has not read was confirmed after
 * that read was sent. Renewing a worker's lease past the time allowed for such a cancellation, or for one that the
 * leader can't act on, would break the cancellation timeout.
 */
public final class LeaderAuthority {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final LongSupplier clock;
    private final long gracePeriodMs;
    private final long stalenessBoundMs;
    private final long launchStalenessBoundMs;
    private long leaseUntilMs;
    private long leaseRegainedAtMs = NEVER;
    private long lastCompleteReadSentAtMs = NEVER;
    private boolean recovered;

    /**
     * @param clock the monotonic clock, in milliseconds
     * @param leaderLeaseS the length of the leader lease
     * @param leaseUntilMs when the lease with which the term began expires
     */
    public LeaderAuthority(LongSupplier clock, Deployment deployment, double leaderLeaseS, long leaseUntilMs) {
        this.clock = clock;
        this.gracePeriodMs = deployment.gracePeriodMs(leaderLeaseS);
        this.stalenessBoundMs = deployment.stalenessBoundMs(leaderLeaseS);
        this.launchStalenessBoundMs = deployment.heartbeatPeriodMs();
        this.leaseUntilMs = leaseUntilMs;
    }

    /**
     * Records that the leader lease is held at least until this time. If it had expired, it counts as regained now.
     */
    public void extendLease(long untilMs) {
        if (!hasLease()) {
            leaseRegainedAtMs = clock.getAsLong();
        }
        leaseUntilMs = untilMs;
    }

    /** Records that every cancellation confirmed before a read sent at this time has been read. */
    public void recordCompleteRead(long sentAtMs) {
        lastCompleteReadSentAtMs = Math.max(lastCompleteReadSentAtMs, sentAtMs);
    }

    /** When the last complete read of users' cancellations was sent; far in the past if there was none. */
    public long lastCompleteReadSentAtMs() {
        return lastCompleteReadSentAtMs;
    }

    /** Records that the state of the former leader has been read. */
    public void markRecovered() {
        recovered = true;
    }

    public boolean hasRecovered() {
        return recovered;
    }

    /** Whether the leader lease is held, so that the leader may make decisions and send commands. */
    public boolean hasLease() {
        return clock.getAsLong() < leaseUntilMs;
    }

    /**
     * How long the lease has been held without a gap, in milliseconds; negative if it has expired. A lease that has
     * never expired in this term counts as held for a very long time.
     */
    public long leaseHeldMs() {
        return hasLease() ? clock.getAsLong() - leaseRegainedAtMs : -1;
    }

    /** Whether commands may launch tasks; requires a read of cancellations within the last heartbeat period. */
    public boolean canLaunchTasks() {
        return hasLease() && isReadWithin(launchStalenessBoundMs);
    }

    /**
     * Whether a reply may renew a worker's lease. A leader that has not read which jobs are open can't stop the tasks
     * of jobs that have ended. If it renewed leases, a series of leaders that each lost the term before reading would
     * keep those tasks running forever.
     */
    public boolean canRenewWorkerLease() {
        return recovered && isInGracePeriod() && isReadWithin(stalenessBoundMs);
    }

    /**
     * Whether a worker's lease may be renewed although one of its tasks should be stopped. This matters while the
     * leader lease is expired, when no stop command may be sent.
     *
     * @param jobOpenUntilMs a time at which the task's job had not been cancelled
     */
    public boolean canRenewDespiteEndedJob(long jobOpenUntilMs) {
        return clock.getAsLong() - jobOpenUntilMs < stalenessBoundMs;
    }

    /** Whether the leader lease is held, or expired no longer ago than the grace period. */
    public boolean isInGracePeriod() {
        return clock.getAsLong() <= leaseUntilMs + gracePeriodMs;
    }

    private boolean isReadWithin(long ms) {
        return clock.getAsLong() - lastCompleteReadSentAtMs < ms;
    }
}

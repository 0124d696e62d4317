package notchpick.coordination;

import java.util.List;
import notchpick.scheduling.Milliseconds;
import notchpick.scheduling.Resources;
import notchpick.scheduling.ServiceObjectives;

/**
 * The deployment as described by the platform's settings, and the time bounds and limits that follow from it.
 *
 * @param node the name of this controller
 * @param clientBindAddress the address on which clients are served
 * @param peerBindAddress the address on which peers are served
 * @param peers the other controllers
 * @param quotas the quotas of all teams
 * @param cloudRequestsPerS the requests that the cloud accepts per second
 * @param socketLimit the largest number of connections that this process may have open
 */
public record Deployment(
        String node,
        String clientBindAddress,
        String peerBindAddress,
        List<Peer> peers,
        String cloudAddress,
        String stateStoreAddress,
        List<String> zones,
        List<Quota> quotas,
        ServiceObjectives objectives,
        WorkerTiming workerTiming,
        StateStoreLimits stateStoreLimits,
        double cloudRequestsPerS,
        int socketLimit) {

    /** Another controller. */
    public record Peer(String node, String address) {}

    /**
     * The time bounds guaranteed to workers and users.
     *
     * @param heartbeatPeriodS how often a worker sends a heartbeat
     * @param leaseS how long a worker keeps its tasks running without a reply to its heartbeats
     * @param cancelTimeoutS how long after the confirmation of a job's cancellation its tasks may still run
     */
    public record WorkerTiming(double heartbeatPeriodS, double leaseS, double cancelTimeoutS) {}

    /**
     * The limits of the state store for all controllers together.
     *
     * @param requestsPerS requests of any kind per second
     * @param writesPerS written keys per second
     * @param valueBytes the size of the largest value
     * @param transactionWrites the largest number of keys that one transaction may write
     */
    public record StateStoreLimits(double requestsPerS, double writesPerS, int valueBytes, int transactionWrites) {}

    /**
     * A team's resource limits.
     *
     * @param guaranteed the guaranteed resources; the team has no guarantee if both cores and GPUs are 0
     * @param maximum the most that the team may hold; an amount of 0 means no limit
     */
    public record Quota(String team, Resources guaranteed, Resources maximum) {
        /** Whether the team may hold these resources in total. */
        public boolean allows(Resources held) {
            return (maximum.cores() <= 0 || held.cores() <= maximum.cores() + Resources.EPSILON)
                    && (maximum.gpus() <= 0 || held.gpus() <= maximum.gpus() + Resources.EPSILON);
        }

        /** Whether these resources in total are within the team's guarantee; false if the team has none. */
        public boolean isWithinGuarantee(Resources held) {
            return (guaranteed.cores() > 0 || guaranteed.gpus() > 0)
                    && held.cores() <= guaranteed.cores() + Resources.EPSILON
                    && held.gpus() <= guaranteed.gpus() + Resources.EPSILON;
        }
    }

    /** Ending a job takes two writes in one transaction. */
    private static final int JOB_END_WRITES = 2;
    /** One transaction writes at most the state store's write rate per second divided by this. */
    private static final int TRANSACTION_WRITE_RATE_DIVISOR = 5;
    /** One in this many connections is reserved for this controller's own calls. */
    private static final int RESERVED_CONNECTIONS_DIVISOR = 8;
    /** The margin, besides clock drift, after which a lease is considered expired at another process. */
    private static final long EXPIRY_MARGIN_MS = 100;
    /** Each monotonic clock drifts by at most 0.05 %; this covers two clocks with a margin. */
    private static final double MAX_CLOCK_DRIFT = 0.002;

    /**
     * The largest number of keys that the leader writes in one transaction. The state store accepts no burst larger
     * than one second's writes, and would always refuse a larger transaction.
     */
    public int maxTransactionWrites() {
        int writesPerTransaction = (int) (stateStoreLimits.writesPerS() / TRANSACTION_WRITE_RATE_DIVISOR);
        return Math.min(stateStoreLimits.transactionWrites(), Math.max(JOB_END_WRITES, writesPerTransaction));
    }

    /**
     * The largest number of connections that clients may open. The rest is reserved for this controller's own calls.
     */
    public int maxClientConnections() {
        return socketLimit - socketLimit / RESERVED_CONNECTIONS_DIVISOR;
    }

    /** The number of controllers in the deployment, including this one. */
    public int controllerCount() {
        return peers.size() + 1;
    }

    /** The size of the largest value that the state store accepts. */
    public int maxValueBytes() {
        return stateStoreLimits.valueBytes();
    }

    /** The number of keys that all controllers together may write to the state store per second. */
    public double stateStoreWritesPerS() {
        return stateStoreLimits.writesPerS();
    }

    /** This controller's equal share of the state store's request rate. */
    public double ownStateStoreRequestsPerS() {
        return stateStoreLimits.requestsPerS() / controllerCount();
    }

    /** How often a worker sends a heartbeat. */
    public double heartbeatPeriodS() {
        return workerTiming.heartbeatPeriodS();
    }

    /** How often a worker sends a heartbeat. */
    public long heartbeatPeriodMs() {
        return toMs(workerTiming.heartbeatPeriodS());
    }

    /** How long a worker keeps its tasks running without a reply to its heartbeats. */
    public long workerLeaseMs() {
        return toMs(workerTiming.leaseS());
    }

    /** How long after the confirmation of a job's cancellation its tasks may still run. */
    public long cancelTimeoutMs() {
        return toMs(workerTiming.cancelTimeoutS());
    }

    /** The length of the leader lease: the worker lease times {@link Tuning#leaderLeaseRatio}. */
    public long leaderLeaseMs(Tuning tuning) {
        return (long) (workerTiming.leaseS() * Milliseconds.PER_SECOND * tuning.leaderLeaseRatio());
    }

    /** The quota of a team; null if there is no such team. */
    public Quota quota(String team) {
        for (Quota quota : quotas) {
            if (quota.team().equals(team)) {
                return quota;
            }
        }
        return null;
    }

    /** How long a lease of this length is certain to be held, counted from before it was requested. */
    public static long leaseSafelyHeldMs(long leaseMs) {
        return (long) (leaseMs * (1 - MAX_CLOCK_DRIFT));
    }

    /** How long to wait until a lease of this length is certain to have expired at another process. */
    public static long leaseSafelyExpiredMs(double leaseMs) {
        return (long) Math.ceil(leaseMs * (1 + MAX_CLOCK_DRIFT)) + EXPIRY_MARGIN_MS;
    }

    /**
     * How old the leader's last complete read of users' cancellations may be when the leader renews a worker's lease. A
     * cancellation that the leader has not read was confirmed after that read was sent. The worker's lease starts when
     * its heartbeat was sent and must expire within the cancellation timeout, with one heartbeat period to spare. If
     * the settings leave too little time for that, the bound is the length of the leader lease; a leader can't work
     * with a smaller bound.
     */
    public long stalenessBoundMs(double leaderLeaseS) {
        return Math.max(
                toMs(leaderLeaseS),
                toMs(workerTiming.cancelTimeoutS() - workerTiming.heartbeatPeriodS()) - workerLeaseSafelyExpiredMs());
    }

    /**
     * How long after the confirmation of a cancellation all tasks of the job are certain to have ended, despite faults.
     */
    public long cancellationBoundMs(double leaderLeaseS) {
        return stalenessBoundMs(leaderLeaseS) + workerLeaseSafelyExpiredMs();
    }

    /**
     * How long a leader may continue to reply to heartbeats after its lease has expired. These replies carry no
     * command; they keep tasks running during an outage of the state store. Another controller may have confirmed a
     * cancellation just after this one was cut off, while this controller still held its lease. Even then the leader
     * lease, the grace period and the worker's lease must together fit into the cancellation timeout, with one
     * heartbeat period to spare. The worker's lease starts when it sent the last heartbeat that was replied to.
     */
    public long gracePeriodMs(double leaderLeaseS) {
        double graceS = Math.min(
                workerTiming.leaseS() / 2,
                workerTiming.cancelTimeoutS() - workerTiming.leaseS() - leaderLeaseS - workerTiming.heartbeatPeriodS());
        return toMs(Math.max(0, graceS));
    }

    /** How long after the last renewal of its lease a worker is certain to have ended its tasks. */
    public long workerLeaseSafelyExpiredMs() {
        return leaseSafelyExpiredMs(workerTiming.leaseS() * Milliseconds.PER_SECOND);
    }

    private static long toMs(double seconds) {
        return (long) (seconds * Milliseconds.PER_SECOND);
    }
}

package notchpick.coordination;

import java.util.List;
import notchpick.scheduling.Milliseconds;
import notchpick.scheduling.Resources;
import notchpick.scheduling.ServiceObjectives;

/**
 * What the platform's settings say of the deployment, and the time bounds that follow from it.
 *
 * @param node the name of this controller
 * @param clientBindAddress the address at which clients are served
 * @param peerBindAddress the address at which peers are served
 * @param peers the other controllers
 * @param quotas the quotas of all teams
 * @param cloudRequestsPerS the requests that the cloud takes in a second
 * @param socketLimit the most connections that this process may have open
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
     * The time bounds that workers and users are promised.
     *
     * @param heartbeatPeriodS how often a worker sends a heartbeat
     * @param leaseS how long a worker keeps its tasks running without a reply to its heartbeats
     * @param cancelTimeoutS how long after the confirmation of a job's cancellation its tasks may still run
     */
    public record WorkerTiming(double heartbeatPeriodS, double leaseS, double cancelTimeoutS) {}

    /**
     * What the state store takes from all controllers together.
     *
     * @param requestsPerS requests of any kind
     * @param writesPerS written keys
     * @param valueBytes the largest value
     * @param transactionWrites the most keys that one transaction writes
     */
    public record StateStoreLimits(double requestsPerS, double writesPerS, int valueBytes, int transactionWrites) {}

    /** What a team is guaranteed, and the most that it may hold; an amount of 0 stands for no limit. */
    public record Quota(String team, Resources guaranteed, Resources maximum) {
        /** Whether the team may hold so much in all. */
        public boolean allows(Resources held) {
            return (maximum.cores() <= 0 || held.cores() <= maximum.cores() + Resources.EPSILON)
                    && (maximum.gpus() <= 0 || held.gpus() <= maximum.gpus() + Resources.EPSILON);
        }

        /** Whether so much stays within the team's guarantee. */
        public boolean isWithinGuarantee(Resources held) {
            return (guaranteed.cores() > 0 || guaranteed.gpus() > 0)
                    && held.cores() <= guaranteed.cores() + Resources.EPSILON
                    && held.gpus() <= guaranteed.gpus() + Resources.EPSILON;
        }
    }

    /** The end of a job takes two writes in one transaction. */
    private static final int JOB_END_WRITES = 2;
    /** One transaction takes no more than this part of the writes that the state store takes in a second. */
    private static final int TRANSACTION_WRITE_RATE_DIVISOR = 5;
    /** One connection in so many is reserved for this controller's own calls. */
    private static final int RESERVED_CONNECTIONS_DIVISOR = 8;
    /** A lease expires elsewhere no later than this after its time, besides clock drift. */
    private static final long EXPIRY_MARGIN_MS = 100;
    /** Steady clocks differ by at most a twentieth of a percent each; this covers two of them with a margin. */
    private static final double MAX_CLOCK_DRIFT = 0.002;

    /**
     * The most keys that the leader writes in one transaction. The state store takes no burst of more than a second's
     * writes: it would refuse a larger transaction forever.
     */
    public int maxTransactionWrites() {
        int writesPerTransaction = (int) (stateStoreLimits.writesPerS() / TRANSACTION_WRITE_RATE_DIVISOR);
        return Math.min(stateStoreLimits.transactionWrites(), Math.max(JOB_END_WRITES, writesPerTransaction));
    }

    /** The most connections that clients may open: without some of its own a controller could call nobody. */
    public int maxClientConnections() {
        return socketLimit - socketLimit / RESERVED_CONNECTIONS_DIVISOR;
    }

    /** The number of controllers in the deployment. */
    public int controllerCount() {
        return peers.size() + 1;
    }

    /** The largest value that the state store takes. */
    public int maxValueBytes() {
        return stateStoreLimits.valueBytes();
    }

    /** The keys that all controllers together may write in a second. */
    public double stateStoreWritesPerS() {
        return stateStoreLimits.writesPerS();
    }

    /** This controller's part of the requests that the state store takes in a second. */
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

    /** The length of the leader lease. */
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

    /** How long a lease of this length is surely held, counted from before it was requested. */
    public static long leaseSafelyHeldMs(long leaseMs) {
        return (long) (leaseMs * (1 - MAX_CLOCK_DRIFT));
    }

    /** After how long a lease of this length has surely expired elsewhere. */
    public static long leaseSafelyExpiredMs(double leaseMs) {
        return (long) Math.ceil(leaseMs * (1 + MAX_CLOCK_DRIFT)) + EXPIRY_MARGIN_MS;
    }

    /**
     * How old the leader's last complete read of users' cancellations may be when it renews a worker's lease. A
     * cancellation that it does not know was confirmed after that read was sent; the worker's lease, which is counted
     * from when its heartbeat was sent, must expire within the time that a cancellation may take, with a heartbeat
     * period to spare. Where the settings leave no time for that, the bound is what a leader needs to lead at all: the
     * length of its lease.
     */
    public long stalenessBoundMs(double leaderLeaseS) {
        return Math.max(
                toMs(leaderLeaseS),
                toMs(workerTiming.cancelTimeoutS() - workerTiming.heartbeatPeriodS()) - workerLeaseSafelyExpiredMs());
    }

    /** How long after its confirmation every task of a cancelled job has surely ended, whatever fails. */
    public long cancellationBoundMs(double leaderLeaseS) {
        return stalenessBoundMs(leaderLeaseS) + workerLeaseSafelyExpiredMs();
    }

    /**
     * How long a leader whose lease has expired may go on replying to heartbeats, without any command, so that tasks
     * survive an outage of the state store. A cancellation may have been confirmed by another controller right after
     * this one was cut off, while its lease was held: even then the leader lease, the grace period and the worker's
     * lease, which is counted from when the last heartbeat that got a reply was sent, must fit into the time that a
     * cancellation may take, with a heartbeat period to spare.
     */
    public long gracePeriodMs(double leaderLeaseS) {
        double graceS = Math.min(
                workerTiming.leaseS() / 2,
                workerTiming.cancelTimeoutS() - workerTiming.leaseS() - leaderLeaseS - workerTiming.heartbeatPeriodS());
        return toMs(Math.max(0, graceS));
    }

    /** After so long a worker has surely ended its tasks, if no reply has renewed its lease. */
    public long workerLeaseSafelyExpiredMs() {
        return leaseSafelyExpiredMs(workerTiming.leaseS() * Milliseconds.PER_SECOND);
    }

    private static long toMs(double seconds) {
        return (long) (seconds * Milliseconds.PER_SECOND);
    }
}

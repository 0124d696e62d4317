package notchpick.coordination;

import java.util.List;
import notchpick.scheduling.Resources;
import notchpick.scheduling.ServiceObjectives;

/** What the platform tells a controller of the deployment, and what follows from it. */
public record Deployment(
        String node,
        String serveOn,
        String peerBind,
        List<Peer> peers,
        String cloudAddress,
        String stateAddress,
        List<String> zones,
        List<Quota> teams,
        ServiceObjectives objectives,
        double heartbeatPeriodS,
        double workerLeaseS,
        double cancelTimeoutS,
        double stateRps,
        double stateWriteRps,
        int valueBytes,
        int txnOps,
        double cloudRps,
        double listLagS,
        int socketLimit) {

    /** Another controller. */
    public record Peer(String node, String address) {}

    /** What a team may always have, and what it may have at the most; an amount of 0 stands for no limit. */
    public record Quota(String team, Resources guaranteed, Resources maximum) {
        /** Whether the team may hold so much at once. */
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

    private static final double MS_PER_S = 1000;

    /** The end of a job takes two changes that belong together. */
    private static final int END_WRITES = 2;
    /** Of the writes that the state store takes in a second, one transaction holds no more than this part. */
    private static final int TRANSACTIONS_PER_S = 5;
    /** One connection in so many is kept for this controller's own calls. */
    private static final int OWN_CONNECTIONS_PART = 8;
    /** A lease ends elsewhere no later than this after its time, besides clock drift. */
    private static final long EXPIRY_MARGIN_MS = 100;
    /** Steady clocks differ by at most a twentieth of a percent each; this counts for both, amply. */
    private static final double DRIFT = 0.002;

    /**
     * So many changes the leader makes in one transaction at the most. The state service takes no burst
     * of more than a second's worth: a transaction larger than that would be turned away for ever.
     */
    public int writesAtOnce() {
        return Math.min(txnOps, Math.max(END_WRITES, (int) (stateWriteRps / TRANSACTIONS_PER_S)));
    }

    /** Connections that others may hold here: without some of its own a controller could reach nobody. */
    public int connectionsTaken() {
        return socketLimit - socketLimit / OWN_CONNECTIONS_PART;
    }

    public int controllers() {
        return peers.size() + 1;
    }

    /** How often a worker sends a heartbeat. */
    public long heartbeatPeriodMs() {
        return (long) (heartbeatPeriodS * MS_PER_S);
    }

    /** How long a worker keeps its tasks running without a reply to its heartbeats. */
    public long workerLeaseMs() {
        return (long) (workerLeaseS * MS_PER_S);
    }

    /** How long after the confirmation of a job's cancellation its tasks may still run. */
    public long cancelTimeoutMs() {
        return (long) (cancelTimeoutS * MS_PER_S);
    }

    /** The length of the leader lease. */
    public long leaderLeaseMs(Tuning tuning) {
        return (long) (workerLeaseS * MS_PER_S * tuning.leaderLeaseRatio());
    }

    /** This controller's part of the requests that the state service takes. */
    public double requestsPerS() {
        return stateRps / controllers();
    }

    /** The quota of a team; null if there is no such team. */
    public Quota quota(String team) {
        for (Quota quota : teams) {
            if (quota.team().equals(team)) {
                return quota;
            }
        }
        return null;
    }

    /** How long a lease of this length may surely be relied on, measured from before it was asked. */
    public static long leaseSafelyHeldMs(double leaseMs) {
        return (long) (leaseMs * (1 - DRIFT));
    }

    /** After so long a lease of this length has surely run out elsewhere. */
    public static long leaseSafelyExpiredMs(double leaseMs) {
        return (long) Math.ceil(leaseMs * (1 + DRIFT)) + EXPIRY_MARGIN_MS;
    }

    /**
     * How old what a leader knows of users' cancellations may be when it prolongs a worker's lease. A cancellation that
     * it does not know was confirmed after its last complete read was sent; the worker's lease, which runs from when
     * its report was sent, must be over within the time that a cancellation has, with a report period to spare.
     * Where the settings leave no room for that, it is as much as a leader needs to go on at all.
     */
    public long stalenessBoundMs(double leaderLeaseS) {
        return Math.max(
                (long) (1000 * leaderLeaseS),
                (long) (1000 * (cancelTimeoutS - heartbeatPeriodS)) - leaseSafelyExpiredMs(1000 * workerLeaseS));
    }

    /** In what time from its confirmation every task of a cancelled job is surely gone, whatever fails. */
    public long cancellationBoundMs(double leaderLeaseS) {
        return stalenessBoundMs(leaderLeaseS) + leaseSafelyExpiredMs(1000 * workerLeaseS);
    }

    /**
     * How long a leader whose claim has lapsed may go on answering reports, without any order, so
     * that work survives an outage of the state service. A job's cancellation may have been taken elsewhere right
     * after this controller was cut off, while its claim stood: even then claim, grace and the worker's lease,
     * which runs from when its last answered report was sent, must fit into the time that a
     * cancellation has, with a report period to spare.
     */
    public long gracePeriodMs(double leaderLeaseS) {
        double graceS = Math.min(workerLeaseS / 2, cancelTimeoutS - workerLeaseS - leaderLeaseS - heartbeatPeriodS);
        return (long) (1000 * Math.max(0, graceS));
    }
}

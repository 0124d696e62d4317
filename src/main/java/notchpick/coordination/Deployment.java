package notchpick.coordination;

import java.util.List;
import notchpick.scheduling.Amounts;
import notchpick.scheduling.Objectives;

/** What the platform tells a controller of the deployment, and what follows from it. */
public record Deployment(
        String node,
        String serveOn,
        String peerBind,
        List<Peer> peers,
        String cloudAddress,
        String stateAddress,
        List<String> zones,
        List<Limit> teams,
        Objectives objectives,
        double reportS,
        double workerLeaseS,
        double cancelS,
        double stateRps,
        double stateWriteRps,
        int valueBytes,
        int txnOps,
        double cloudRps,
        double listLagS,
        int socketLimit) {

    /** Another controller. */
    public record Peer(String node, String address) {}

    /** A team's guarantee and most; an amount of 0 stands for none. */
    public record Limit(String team, Amounts guarantee, Amounts most) {
        /** Whether the team may hold so much at once. */
        public boolean allows(Amounts held) {
            return (most.cores() <= 0 || held.cores() <= most.cores() + Amounts.SLACK)
                    && (most.gpus() <= 0 || held.gpus() <= most.gpus() + Amounts.SLACK);
        }

        /** Whether so much stays within the team's guarantee. */
        public boolean guarantees(Amounts held) {
            return (guarantee.cores() > 0 || guarantee.gpus() > 0)
                    && held.cores() <= guarantee.cores() + Amounts.SLACK
                    && held.gpus() <= guarantee.gpus() + Amounts.SLACK;
        }
    }

    /** The end of a job takes two changes that belong together. */
    private static final int END_WRITES = 2;
    /** Steady clocks differ by at most a twentieth of a percent each; this counts for both, amply. */
    private static final double DRIFT = 0.002;

    /**
     * So many changes the leader makes in one transaction at the most. The state service takes no burst
     * of more than a second's worth: a transaction larger than that would be turned away for ever.
     */
    public int writesAtOnce() {
        return Math.min(txnOps, Math.max(END_WRITES, (int) (stateWriteRps / 5)));
    }

    /** Connections that others may hold here: without some of its own a controller could reach nobody. */
    public int connectionsTaken() {
        return socketLimit - socketLimit / 8;
    }

    public int controllers() {
        return peers.size() + 1;
    }

    /** This controller's part of the requests that the state service takes. */
    public double requestsPerS() {
        return stateRps / controllers();
    }

    /** The limit of a team; null: there is no such team. */
    public Limit limit(String team) {
        for (Limit limit : teams) {
            if (limit.team().equals(team)) {
                return limit;
            }
        }
        return null;
    }

    /** How long a lease of this length may surely be relied on, measured from before it was asked. */
    public static long surelyHeldMs(double leaseMs) {
        return (long) (leaseMs * (1 - DRIFT));
    }

    /** After so long a lease of this length has surely run out elsewhere. */
    public static long surelyOverMs(double leaseMs) {
        return (long) Math.ceil(leaseMs * (1 + DRIFT)) + 100;
    }

    /**
     * How old what a leader knows of users' cancellations may be when it prolongs a worker's lease. A cancellation that
     * it does not know was confirmed after its last complete read was sent; the worker's lease, which runs from when
     * its report was sent, must be over within the time that a cancellation has, with a report period to spare.
     * Where the settings leave no room for that, it is as much as a leader needs to go on at all.
     */
    public long knowledgeMs(double leaderLeaseS) {
        return Math.max(
                (long) (1000 * leaderLeaseS), (long) (1000 * (cancelS - reportS)) - surelyOverMs(1000 * workerLeaseS));
    }

    /** In what time from its confirmation every task of a cancelled job is surely gone, whatever fails. */
    public long surelyCancelledMs(double leaderLeaseS) {
        return knowledgeMs(leaderLeaseS) + surelyOverMs(1000 * workerLeaseS);
    }

    /**
     * How long a leader whose claim has lapsed may go on answering reports, without any order, so
     * that work survives an outage of the state service. A job's cancellation may have been taken elsewhere right
     * after this controller was cut off, while its claim stood: even then claim, grace and the worker's lease,
     * which runs from when its last answered report was sent, must fit into the time that a
     * cancellation has, with a report period to spare.
     */
    public long graceMs(double leaderLeaseS) {
        double graceS = Math.min(workerLeaseS / 2, cancelS - workerLeaseS - leaderLeaseS - reportS);
        return (long) (1000 * Math.max(0, graceS));
    }
}

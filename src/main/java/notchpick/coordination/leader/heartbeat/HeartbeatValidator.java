package notchpick.coordination.leader.heartbeat;

import notchpick.coordination.leader.term.LeaderAuthority;
import notchpick.model.ClusterState;
import notchpick.model.Machine;
import notchpick.protocol.WorkerProtocol.Heartbeat;

/**
 * Decides whether a heartbeat is accepted, from the leader's authority, the fencing token and the heartbeat's order.
 */
final class HeartbeatValidator {
    /** How a heartbeat is handled. */
    enum Decision {
        /** The cluster state is updated from the heartbeat. */
        ACCEPT,
        /**
         * The worker made the heartbeat before it received this term's fencing token, so its content is not reliable:
         * it may be a duplicate or delayed while a command of the former leader is still in transit. The reply carries
         * the token, and the worker's next heartbeat can be accepted.
         */
        SEND_TOKEN,
        /** The reply is an error, because any other reply could renew a lease that this leader may not renew. */
        REFUSE
    }

    private final ClusterState cluster;
    private final LeaderAuthority authority;
    private final long term;

    HeartbeatValidator(ClusterState cluster, LeaderAuthority authority, long term) {
        this.cluster = cluster;
        this.authority = authority;
        this.term = term;
    }

    /** Decides how to handle the heartbeat; changes no state. */
    Decision validate(Heartbeat heartbeat) {
        // A delayed heartbeat may come from a machine that has already been removed.
        if (!authority.canRenewWorkerLease()
                || heartbeat.fencingToken() > term
                || cluster.isRemoved(heartbeat.machine())) {
            return Decision.REFUSE;
        }
        Machine machine = cluster.machine(heartbeat.machine());
        if (machine != null && machine.isStale(heartbeat.incarnation(), heartbeat.sequence())) {
            return Decision.REFUSE;
        }
        return heartbeat.fencingToken() < term && !hasNeverReceivedCommands(heartbeat, machine)
                ? Decision.SEND_TOKEN
                : Decision.ACCEPT;
    }

    /**
     * A worker without a token has executed no command. One may still be in transit to it only if a former leader left
     * a launch record that names the machine.
     */
    private static boolean hasNeverReceivedCommands(Heartbeat heartbeat, Machine machine) {
        return heartbeat.fencingToken() == 0 && (machine == null || !machine.hasFormerLeaderLaunches());
    }
}

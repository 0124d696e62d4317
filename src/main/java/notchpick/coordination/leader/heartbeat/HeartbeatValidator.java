package notchpick.coordination.leader.heartbeat;

import java.util.Set;
import notchpick.coordination.leader.term.LeaderAuthority;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.ClusterState;
import notchpick.model.Machine;
import notchpick.model.MachineTypeCatalog;
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
        /** The heartbeat names a machine type or a zone that does not exist; the reply says so, and nothing changes. */
        REJECT,
        /** The reply is an error, because any other reply could renew a lease that this leader may not renew. */
        REFUSE
    }

    private final ClusterState cluster;
    private final MachineTypeCatalog machineTypes;
    private final Set<String> zones;
    private final LeaderAuthority authority;
    private final long term;

    HeartbeatValidator(TermContext context, LeaderAuthority authority) {
        this.cluster = context.cluster();
        this.machineTypes = context.machineTypes();
        this.zones = Set.copyOf(context.deployment().zones());
        this.authority = authority;
        this.term = context.term();
    }

    /** Decides how to handle the heartbeat; changes no state. */
    Decision validate(Heartbeat heartbeat) {
        // A delayed heartbeat may come from a machine that has already been removed.
        if (!authority.canRenewWorkerLease()
                || heartbeat.fencingToken() > term
                || cluster.isRemoved(heartbeat.machine())) {
            return Decision.REFUSE;
        }
        if (!isKnownPlace(heartbeat)) {
            return Decision.REJECT;
        }
        Machine machine = cluster.machine(heartbeat.machine());
        if (machine != null && machine.isStale(heartbeat.incarnation(), heartbeat.sequence())) {
            return Decision.REFUSE;
        }
        return heartbeat.fencingToken() < term && !hasNeverReceivedCommands(heartbeat, machine)
                ? Decision.SEND_TOKEN
                : Decision.ACCEPT;
    }

    private boolean isKnownPlace(Heartbeat heartbeat) {
        return machineTypes.byName().containsKey(heartbeat.type())
                && (zones.contains(heartbeat.zone()) || machineTypes.isOffered(heartbeat.type(), heartbeat.zone()));
    }

    /**
     * A worker without a token has executed no command. One may still be in transit to it only if a former leader left
     * a launch record that names the machine.
     */
    private static boolean hasNeverReceivedCommands(Heartbeat heartbeat, Machine machine) {
        return heartbeat.fencingToken() == 0 && (machine == null || !machine.hasFormerLeaderLaunches());
    }
}

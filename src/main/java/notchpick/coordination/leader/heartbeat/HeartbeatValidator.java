package notchpick.coordination.leader.heartbeat;

import notchpick.coordination.leader.term.LeaderAuthority;
import notchpick.model.ClusterState;
import notchpick.model.Machine;
import notchpick.protocol.WorkerProtocol.Heartbeat;

/** Decides whether a heartbeat counts, by the leader's authority, the fencing token and the order of heartbeats. */
final class HeartbeatValidator {
    /** What is to be done with a heartbeat. */
    enum Verdict {
        /** It counts: the cluster state is brought in line with it. */
        ACCEPT,
        /**
         * It was made before its worker heard of this term and tells nothing for sure: it may be a copy of an old one,
         * or have been held up, while a command of the former leader is still on its way. The reply gives the fencing
         * token; the worker's next heartbeat counts.
         */
        INTRODUCE_TOKEN,
        /** It must not be answered, as the reply could renew a lease that this leader may not renew. */
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

    /** Decides what is to be done with the heartbeat. */
    Verdict validate(Heartbeat heartbeat) {
        // A late heartbeat may be of a machine that is surely gone.
        if (!authority.mayRenewWorkerLease()
                || heartbeat.fencingToken() > term
                || cluster.isRemoved(heartbeat.machine())) {
            return Verdict.REFUSE;
        }
        Machine machine = cluster.machine(heartbeat.machine());
        if (machine != null && machine.isStale(heartbeat.incarnation(), heartbeat.sequence())) {
            return Verdict.REFUSE;
        }
        return heartbeat.fencingToken() < term && !hasNeverHadCommands(heartbeat, machine)
                ? Verdict.INTRODUCE_TOKEN
                : Verdict.ACCEPT;
    }

    /** A worker that has seen no token has executed no command, and only a launch record says that one may come. */
    private static boolean hasNeverHadCommands(Heartbeat heartbeat, Machine machine) {
        return heartbeat.fencingToken() == 0 && (machine == null || !machine.hasFormerLeaderLaunches());
    }
}

package notchpick.app;

import java.util.List;
import notchpick.coordination.leader.Leader;
import notchpick.coordination.membership.FailoverStateStoreTransport;
import notchpick.coordination.membership.HeartbeatRouter;
import notchpick.coordination.membership.LeaderElection;
import notchpick.coordination.membership.LinkMonitor;
import notchpick.coordination.membership.PeerMembership;
import notchpick.protocol.StateStoreClient;
import notchpick.protocol.peer.LinkTable;
import notchpick.protocol.peer.Progress;
import notchpick.protocol.peer.Pulse;

/** Builds the messages in which this controller announces its status to its peers: heartbeats and link tables. */
final class PeerAnnouncer {
    private final String node;
    private final LeaderElection election;
    private final StateStoreClient stateStore;
    private final FailoverStateStoreTransport stateStoreTransport;
    private final HeartbeatRouter heartbeatRouter;
    private final LocalLeader localLeader;

    PeerAnnouncer(
            String node,
            LeaderElection election,
            StateStoreClient stateStore,
            FailoverStateStoreTransport stateStoreTransport,
            HeartbeatRouter heartbeatRouter,
            LocalLeader localLeader) {
        this.node = node;
        this.election = election;
        this.stateStore = stateStore;
        this.stateStoreTransport = stateStoreTransport;
        this.heartbeatRouter = heartbeatRouter;
        this.localLeader = localLeader;
    }

    /** A heartbeat; it includes the progress of jobs if this controller leads. */
    Pulse heartbeat() {
        return heartbeat(localLeader.current().map(Leader::progress).orElse(List.of()));
    }

    /** The reply to a peer's heartbeat, without progress. */
    Pulse heartbeatReply() {
        return heartbeat(List.of());
    }

    private Pulse heartbeat(List<Progress> progress) {
        // Peers choose a relay by this flag, so it is true only if this controller reaches the state store directly.
        boolean reachesStateStore = stateStore.isReachable() && !stateStoreTransport.isRelayed();
        return new Pulse(
                node, election.term(), election.leader(), reachesStateStore, heartbeatRouter.redirects(), progress);
    }

    /** The condition of this controller's links. */
    LinkTable linkTable(PeerMembership peers, LinkMonitor links) {
        return new LinkTable(
                node,
                election.term(),
                election.leader(),
                stateStoreTransport.relay(),
                peers.heartbeatLagMs(),
                links.linkRows());
    }
}

package notchpick.app;

import java.util.Optional;
import java.util.Random;
import notchpick.coordination.Deployment;
import notchpick.coordination.Tuning;
import notchpick.coordination.leader.Leader;
import notchpick.coordination.leader.LeaderEnvironment;
import notchpick.coordination.leader.term.LaunchCounters;
import notchpick.coordination.membership.ElectionPriority;
import notchpick.coordination.membership.FailoverStateStoreTransport;
import notchpick.coordination.membership.HeartbeatRouter;
import notchpick.coordination.membership.LeaderElection;
import notchpick.coordination.membership.LinkMonitor;
import notchpick.coordination.membership.LocalStatus;
import notchpick.coordination.membership.PeerClient;
import notchpick.coordination.membership.PeerMembership;
import notchpick.coordination.membership.PeerRegistry;
import notchpick.coordination.userapi.UserRequestHandler;
import notchpick.protocol.CloudClient;
import notchpick.protocol.StateStoreClient;
import notchpick.protocol.peer.LinkTable;
import notchpick.protocol.peer.Progress;
import notchpick.protocol.peer.Pulse;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller;

/** Builds the components of one controller and connects them; callbacks resolve the cycles between components. */
final class ControllerComponents {
    private static final long STATE_STORE_TIMEOUT_MS = 1500;
    private static final long CLOUD_TIMEOUT_MS = 5000;

    private final LinkMonitor links;
    private final PeerClient peerClient;
    private final PeerRegistry peers;
    private final PeerMembership membership;
    private final StateStoreClient stateStore;
    private final CloudClient cloud;
    private final LocalLeader localLeader;
    private final LeaderElection election;
    private final HeartbeatRouter heartbeatRouter;
    private final PeerAnnouncer announcer;
    private final UserRequestHandler userRequests;
    private final LaunchCounters launchCounters = new LaunchCounters();

    /** @param caller must run its callbacks on the controller's event loop */
    ControllerComponents(EventLoop loop, Deployment deployment, Tuning tuning, HttpCaller caller, Random random) {
        long leaderLeaseMs = deployment.leaderLeaseMs(tuning);
        links = new LinkMonitor(loop, deployment);
        peerClient = new PeerClient(loop, deployment, caller, links);
        peers = new PeerRegistry(loop, deployment, links);
        membership =
                new PeerMembership(loop, deployment, peerClient, peers, new AnnouncedStatus(), this::heartbeatReceived);
        FailoverStateStoreTransport stateStoreTransport =
                new FailoverStateStoreTransport(loop, caller, links, peers, peerClient, leaderLeaseMs);
        stateStore = stateStoreClient(stateStoreTransport, loop, deployment);
        cloud = new CloudClient(caller, deployment.cloudAddress(), CLOUD_TIMEOUT_MS);
        LeaderEnvironment leaderEnvironment = new LeaderEnvironment(
                loop,
                deployment,
                tuning,
                stateStore,
                cloud,
                peers,
                peerClient,
                links,
                stateStoreTransport,
                launchCounters);
        localLeader = new LocalLeader(leaderEnvironment, this::stepDown);
        election = new LeaderElection(
                loop,
                deployment.node(),
                stateStore,
                random,
                leaderLeaseMs,
                new ElectionPriority(links, peers, stateStoreTransport, deployment.heartbeatPeriodMs(), leaderLeaseMs),
                localLeader);
        heartbeatRouter = new HeartbeatRouter(loop, deployment, election, peers, peerClient, links);
        announcer = new PeerAnnouncer(
                deployment.node(), election, stateStore, stateStoreTransport, heartbeatRouter, localLeader);
        userRequests = new UserRequestHandler(loop, deployment, stateStore, this::progress);
    }

    private static StateStoreClient stateStoreClient(
            FailoverStateStoreTransport transport, EventLoop loop, Deployment deployment) {
        return new StateStoreClient(
                transport,
                loop,
                deployment.stateStoreAddress(),
                STATE_STORE_TIMEOUT_MS,
                deployment.ownStateStoreRequestsPerS());
    }

    /** Starts the components that act on timers of their own. */
    void start() {
        election.tell(new LeaderElection.Begin());
        membership.tell(new PeerMembership.Begin());
        heartbeatRouter.tell(new HeartbeatRouter.Begin());
    }

    /**
     * The status that this controller announces. The announcer is looked up on each call, because it does not exist yet
     * when this object is created.
     */
    private final class AnnouncedStatus implements LocalStatus {
        @Override
        public Pulse heartbeat() {
            return announcer.heartbeat();
        }

        @Override
        public LinkTable linkTable() {
            return announcer.linkTable(membership, links);
        }
    }

    private void heartbeatReceived(Pulse heartbeat) {
        election.tell(new LeaderElection.TermObserved(heartbeat.getTerm(), heartbeat.getLeader()));
    }

    private void stepDown(String reason) {
        election.tell(new LeaderElection.StepDown(reason));
    }

    private Optional<Progress> progress(String job) {
        Optional<Leader> leader = localLeader.current();
        return Optional.ofNullable(leader.isPresent() ? leader.get().progress(job) : peers.progress(job));
    }

    LinkMonitor links() {
        return links;
    }

    PeerClient peerClient() {
        return peerClient;
    }

    PeerRegistry peers() {
        return peers;
    }

    PeerMembership membership() {
        return membership;
    }

    StateStoreClient stateStore() {
        return stateStore;
    }

    CloudClient cloud() {
        return cloud;
    }

    LocalLeader localLeader() {
        return localLeader;
    }

    LeaderElection election() {
        return election;
    }

    HeartbeatRouter heartbeatRouter() {
        return heartbeatRouter;
    }

    PeerAnnouncer announcer() {
        return announcer;
    }

    LaunchCounters launchCounters() {
        return launchCounters;
    }

    UserRequestHandler userRequests() {
        return userRequests;
    }
}

package notchpick.coordination.leader;

import notchpick.coordination.Deployment;
import notchpick.coordination.Tuning;
import notchpick.coordination.leader.term.LaunchCounters;
import notchpick.coordination.membership.FailoverStateStoreTransport;
import notchpick.coordination.membership.LinkMonitor;
import notchpick.coordination.membership.PeerClient;
import notchpick.coordination.membership.PeerRegistry;
import notchpick.protocol.CloudClient;
import notchpick.protocol.StateStoreClient;
import notchpick.transport.EventLoop;

/** The objects of the controller that the leader of a term uses. They outlive the term. */
public record LeaderEnvironment(
        EventLoop loop,
        Deployment deployment,
        Tuning tuning,
        StateStoreClient stateStore,
        CloudClient cloud,
        PeerRegistry peers,
        PeerClient peerClient,
        LinkMonitor links,
        FailoverStateStoreTransport stateStoreTransport,
        LaunchCounters launchCounters) {}

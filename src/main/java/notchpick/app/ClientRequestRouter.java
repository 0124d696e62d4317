package notchpick.app;

import java.util.Optional;
import java.util.function.Consumer;
import notchpick.coordination.membership.LeaderElection;
import notchpick.coordination.membership.LinkMonitor;
import notchpick.coordination.membership.PeerClient;
import notchpick.coordination.membership.PeerRegistry;
import notchpick.coordination.userapi.UserRequestHandler;
import notchpick.protocol.StateStoreClient;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;

/** Routes the requests of workers, users and load balancers. */
final class ClientRequestRouter {
    private static final String HEARTBEAT_PATH = "/hello";
    private static final String READINESS_PATH = "/ready";
    private static final long RELAY_TIMEOUT_MS = 2000;

    private final HeartbeatReceiver heartbeats;
    private final UserRequestHandler userRequests;
    private final LeaderElection election;
    private final StateStoreClient stateStore;
    private final PeerRegistry peers;
    private final PeerClient peerClient;
    private final LinkMonitor links;

    ClientRequestRouter(ControllerComponents components, HeartbeatReceiver heartbeats) {
        this.heartbeats = heartbeats;
        this.userRequests = components.userRequests();
        this.election = components.election();
        this.stateStore = components.stateStore();
        this.peers = components.peers();
        this.peerClient = components.peerClient();
        this.links = components.links();
    }

    /** Handles a request that was received then, by the steady clock. */
    void route(Request request, Consumer<Response> reply, long receivedAt) {
        if (request.path().equals(HEARTBEAT_PATH)) {
            heartbeats.receive(request, reply, receivedAt);
        } else if (request.path().equals(READINESS_PATH)) {
            links.recordReadinessProbe();
            reply.accept(readiness(request));
        } else {
            routeUserRequest(request, reply);
        }
    }

    private Response readiness(Request request) {
        if (!request.method().equals("GET")) {
            return ControllerReplies.methodNotAllowed();
        }
        return isReady() ? ControllerReplies.ok() : ControllerReplies.unavailable();
    }

    /** In an outage that all controllers share, leaving the load balancer's list would help nobody. */
    private boolean isReady() {
        return userRequests.isReady()
                && !election.isFormatIncompatible()
                && (stateStore.isReachable() || peers.peerReachingStateStore().isEmpty());
    }

    private void routeUserRequest(Request request, Consumer<Response> reply) {
        if (election.isFormatIncompatible()) {
            reply.accept(ControllerReplies.unavailable("records of another version"));
            return;
        }
        Optional<String> peer = stateStore.isReachable() ? Optional.empty() : peers.peerReachingStateStore();
        if (peer.isPresent()) {
            // Cut off from the state store while a peer is not: the peer can reply.
            peerClient.relay(
                    peer.get(),
                    request,
                    RELAY_TIMEOUT_MS,
                    response -> reply.accept(
                            response.isUnanswered() ? ControllerReplies.unavailable("no state service") : response));
        } else {
            userRequests.tell(new UserRequestHandler.UserRequest(request, reply));
        }
    }
}

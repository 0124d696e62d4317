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

/** Routes the requests of workers, users and the users' load balancer. */
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

    /**
     * Handles a request.
     *
     * @param receivedAtMs the time on the monotonic clock at which the request was received
     */
    void route(Request request, Consumer<Response> reply, long receivedAtMs) {
        if (request.path().equals(HEARTBEAT_PATH)) {
            heartbeats.receive(request, reply, receivedAtMs);
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

    /**
     * Whether the load balancer should send users to this controller. If no controller reaches the state store, all of
     * them stay ready, because removing them from the load balancer would help no user.
     */
    private boolean isReady() {
        return userRequests.isReady()
                && !election.isFormatIncompatible()
                && (stateStore.isReachable() || peers.peerReachingStateStore().isEmpty());
    }

    private void routeUserRequest(Request request, Consumer<Response> reply) {
        if (election.isFormatIncompatible()) {
            reply.accept(ControllerReplies.unavailable("the state store holds records of an incompatible version"));
            return;
        }
        Optional<String> peer = stateStore.isReachable() ? Optional.empty() : peers.peerReachingStateStore();
        if (peer.isPresent()) {
            // This controller can't reach the state store, but a peer can, and handles the request.
            peerClient.relay(
                    peer.get(),
                    request,
                    RELAY_TIMEOUT_MS,
                    response -> reply.accept(
                            response.isUnanswered()
                                    ? ControllerReplies.unavailable("the state store is unavailable")
                                    : response));
        } else {
            userRequests.tell(new UserRequestHandler.UserRequest(request, reply));
        }
    }
}

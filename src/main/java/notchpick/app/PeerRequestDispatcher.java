package notchpick.app;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import notchpick.coordination.leader.allocation.TaskPlacer;
import notchpick.coordination.membership.PeerMembership;
import notchpick.coordination.userapi.UserRequestHandler;
import notchpick.protocol.PeerProtocol;
import notchpick.protocol.StateStoreClient;
import notchpick.protocol.peer.Grant;
import notchpick.protocol.peer.LinkTable;
import notchpick.protocol.peer.Pulse;
import notchpick.protocol.peer.Relay;
import notchpick.protocol.peer.Relayed;
import notchpick.protocol.peer.ReportBatch;
import notchpick.protocol.peer.StateCall;
import notchpick.transport.CallbackExecutor;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;

/** Dispatches the messages from other controllers to the handlers of their types. */
final class PeerRequestDispatcher {
    private final String node;
    private final EventLoop loop;
    private final CallbackExecutor callbacks;
    private final HeartbeatReceiver heartbeats;
    private final PeerMembership membership;
    private final PeerAnnouncer announcer;
    private final StateStoreClient stateStore;
    private final UserRequestHandler userRequests;

    PeerRequestDispatcher(
            String node,
            EventLoop loop,
            CallbackExecutor callbacks,
            ControllerComponents components,
            HeartbeatReceiver heartbeats) {
        this.node = node;
        this.loop = loop;
        this.callbacks = callbacks;
        this.heartbeats = heartbeats;
        this.membership = components.membership();
        this.announcer = components.announcer();
        this.stateStore = components.stateStore();
        this.userRequests = components.userRequests();
    }

    /**
     * Handles a message.
     *
     * @param receivedAtMs the time on the monotonic clock at which the request was received
     */
    void dispatch(Request request, Consumer<Response> reply, long receivedAtMs) {
        Object message = request.path().equals(PeerProtocol.PATH) ? PeerProtocol.decode(request.body()) : null;
        if (message instanceof Pulse heartbeat) {
            handleHeartbeat(heartbeat, reply);
        } else if (message instanceof Grant grant) {
            reply.accept(ControllerReplies.peerMessage(TaskPlacer.place(grant, node)));
        } else if (message instanceof ReportBatch batch) {
            heartbeats.receiveRelayed(batch, reply, receivedAtMs);
        } else if (message instanceof StateCall call) {
            relayToStateStore(call, reply, receivedAtMs);
        } else if (message instanceof LinkTable table) {
            exchangeLinks(table, reply);
        } else if (message instanceof Relay relay) {
            handleRelayedUserRequest(relay, reply);
        } else {
            reply.accept(ControllerReplies.badRequest());
        }
    }

    private void handleHeartbeat(Pulse heartbeat, Consumer<Response> reply) {
        membership.tell(new PeerMembership.HeartbeatReceived(heartbeat));
        reply.accept(ControllerReplies.peerMessage(announcer.heartbeatReply()));
    }

    private void relayToStateStore(StateCall call, Consumer<Response> reply, long receivedAtMs) {
        long timeLeftMs = call.getTimeoutMs() - (loop.nowMs() - receivedAtMs);
        stateStore.sendForPeer(
                call.getMethod(),
                call.getPath(),
                PeerProtocol.toBytes(call.getContent()),
                timeLeftMs,
                response -> reply.accept(ControllerReplies.peerMessage(ControllerReplies.relayed(response))));
    }

    private void exchangeLinks(LinkTable table, Consumer<Response> reply) {
        membership.tell(
                new PeerMembership.LinkTableReceived(table, own -> reply.accept(ControllerReplies.peerMessage(own))));
    }

    private void handleRelayedUserRequest(Relay relay, Consumer<Response> reply) {
        byte[] body = relay.getContent().getBytes(StandardCharsets.UTF_8);
        Request request = new Request(null, relay.getMethod(), relay.getPath(), body);
        Consumer<Response> relayReply = response -> reply.accept(ControllerReplies.peerMessage(
                new Relayed(response.status(), new String(response.body(), StandardCharsets.UTF_8))));
        userRequests.tell(new UserRequestHandler.UserRequest(request, callbacks.onLoop(relayReply)));
    }
}

package notchpick.coordination.membership;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import notchpick.coordination.Deployment;
import notchpick.protocol.PeerProtocol;
import notchpick.protocol.peer.Relay;
import notchpick.protocol.peer.Relayed;
import notchpick.transport.Actor;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpStatus;

/** Sends requests to the other controllers and records in the link monitor how each one completes. */
public final class PeerClient extends Actor<Void> {
    /** The Retry-After value, in seconds, for a user whose relayed request got the status 503 from the peer. */
    private static final int RETRY_AFTER_S = 1;

    private final Deployment deployment;
    private final HttpCaller caller;
    private final LinkMonitor links;

    public PeerClient(EventLoop loop, Deployment deployment, HttpCaller caller, LinkMonitor links) {
        super(loop);
        this.deployment = deployment;
        this.caller = caller;
        this.links = links;
    }

    @Override
    protected void receive(Void message) {
        throw new IllegalStateException("PeerClient takes no messages; call its methods instead");
    }

    /**
     * Sends a message to a peer and calls back exactly once.
     *
     * @param onReply gets the peer's reply, or null if there was none in time or its status was not 200
     */
    public void send(String peer, Object message, long timeoutMs, Consumer<Object> onReply) {
        post(peer, address(peer), PeerProtocol.encode(message), timeoutMs, onReply);
    }

    /** Sends the same message to all peers; calls back once per peer, as {@link #send} does. */
    void broadcast(Object message, long timeoutMs, Consumer<Object> onReply) {
        byte[] body = PeerProtocol.encode(message);
        for (Deployment.Peer peer : deployment.peers()) {
            post(peer.node(), peer.address(), body, timeoutMs, onReply);
        }
    }

    private String address(String peer) {
        for (Deployment.Peer candidate : deployment.peers()) {
            if (candidate.node().equals(peer)) {
                return candidate.address();
            }
        }
        return null;
    }

    private void post(String peer, String address, byte[] body, long timeoutMs, Consumer<Object> onReply) {
        long sentAtMs = loop.nowMs();
        Consumer<Response> onResponse = onLoop(response ->
                onReply.accept(response.status() == HttpStatus.OK ? PeerProtocol.decode(response.body()) : null));
        caller.call(new Request(address, "POST", PeerProtocol.PATH, body), timeoutMs, response -> {
            links.recordPeerRequest(peer, response, sentAtMs);
            onResponse.accept(response);
        });
    }

    /** Relays a user's request to a peer and passes back the peer's response. */
    public void relay(String peer, Request request, long timeoutMs, Consumer<Response> onResponse) {
        String content = request.body() == null ? "" : new String(request.body(), StandardCharsets.UTF_8);
        send(peer, new Relay(request.method(), request.path(), content), timeoutMs, reply -> {
            if (reply instanceof Relayed relayed) {
                onResponse.accept(Response.retryAfter(
                        relayed.getStatus(),
                        relayed.getContent().getBytes(StandardCharsets.UTF_8),
                        relayed.getStatus() == HttpStatus.SERVICE_UNAVAILABLE ? RETRY_AFTER_S : 0));
            } else {
                onResponse.accept(Response.UNANSWERED);
            }
        });
    }
}

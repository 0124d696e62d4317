package notchpick.coordination.membership;

import java.nio.ByteBuffer;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import notchpick.protocol.PeerProtocol;
import notchpick.protocol.StateStoreTransport;
import notchpick.protocol.peer.Outcome;
import notchpick.protocol.peer.StateCall;
import notchpick.transport.Actor;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpStatus;

/**
 * Sends requests to the state store over the direct link. While that link is cut or its connections are refused, sends
 * them through a peer whose own link works.
 *
 * <p>A refused request has not been executed, so it is sent to a relay immediately. A request without a response may
 * have been executed; only hedged requests, which may be executed twice, are then sent over a second path. When a
 * request shows that a relay works and the direct link does not, all requests switch to the relay. Unhedged requests
 * in flight on the old path are completed as unanswered. They may still be executed late, which every sender must
 * tolerate.
 */
public final class FailoverStateStoreTransport extends Actor<Void> implements StateStoreTransport {
    /** The wait for a response before a hedged request is sent to a relay, as a fraction of the leader lease. */
    private static final double HEDGE_DELAY_RATIO = 0.08;
    /** How long the circuit breaker stays open, as a fraction of the leader lease. */
    private static final double BREAKER_OPEN_RATIO = 0.25;
    /** The fraction of a relayed request's timeout that is reserved for returning the response. */
    private static final double REPLY_TIME_RATIO = 0.1;

    private final HttpCaller caller;
    private final LinkMonitor links;
    private final PeerRegistry peers;
    private final PeerClient peerClient;
    private final long hedgeDelayMs;
    private final StateStorePath path;
    private final Set<StateStoreRequest> openRequests = new LinkedHashSet<>();

    public FailoverStateStoreTransport(
            EventLoop loop,
            HttpCaller caller,
            LinkMonitor links,
            PeerRegistry peers,
            PeerClient peerClient,
            long leaderLeaseMs) {
        super(loop);
        this.caller = caller;
        this.links = links;
        this.peers = peers;
        this.peerClient = peerClient;
        this.hedgeDelayMs = (long) (leaderLeaseMs * HEDGE_DELAY_RATIO);
        this.path = new StateStorePath(leaderLeaseMs, (long) (leaderLeaseMs * BREAKER_OPEN_RATIO));
    }

    @Override
    protected void receive(Void message) {
        throw new IllegalStateException("FailoverStateStoreTransport takes no messages; call its methods instead");
    }

    /** The peer that relays requests to the state store; null while requests take the direct link. */
    public String relay() {
        return path.relay();
    }

    /** Whether requests to the state store go through a peer. */
    public boolean isRelayed() {
        return path.isRelayed();
    }

    /** How long requests have been relayed, in milliseconds; 0 if they take the direct link. */
    public long relayedForMs() {
        return path.relayedForMs(loop.nowMs());
    }

    @Override
    public void sendDirect(Request request, long timeoutMs, Consumer<Response> onResponse) {
        if (path.isRelayed()) {
            // A request is relayed at most once: the peer that sent it here must try another relay.
            onResponse.accept(Response.empty(HttpStatus.SERVICE_UNAVAILABLE));
            return;
        }
        long sentAtMs = loop.nowMs();
        caller.call(request, timeoutMs, response -> {
            links.recordStateStoreRequest(response, sentAtMs);
            onResponse.accept(response);
        });
    }

    @Override
    public void send(Request call, long timeoutMs, boolean hedged, Consumer<Response> onResponse) {
        StateStoreRequest request = new StateStoreRequest(call, loop.nowMs(), timeoutMs, hedged, onResponse);
        openRequests.add(request);
        if (!path.isRelayed()) {
            sendCopyDirectly(request);
        } else {
            sendCopyToRelay(path.relay(), request);
            if (request.isHedged()) {
                // The second copy probes whether the direct link works again.
                sendCopyDirectly(request);
            }
        }
        if (request.isHedged()) {
            schedule(hedgeDelayMs, () -> hedge(request));
        }
    }

    private void complete(StateStoreRequest request, Response response) {
        openRequests.remove(request);
        request.complete(response);
    }

    private static boolean isServed(Response response) {
        return !response.isUnanswered() && response.status() != HttpStatus.SERVICE_UNAVAILABLE;
    }

    /**
     * Tries another relay if the request may be retried. If none is tried and no other copy is in flight, completes the
     * request with this response.
     */
    private void handleCopyFailure(StateStoreRequest request, Response response) {
        request.recordCopyFailure();
        boolean mayRetry = request.isHedged()
                || response.isConnectionRefused()
                || response.status() == HttpStatus.SERVICE_UNAVAILABLE;
        if (!request.isCompleted() && !(mayRetry && sendCopyToUntriedRelay(request)) && !request.hasCopiesInFlight()) {
            complete(request, response);
        }
    }

    private void sendCopyDirectly(StateStoreRequest request) {
        request.recordSentDirectly();
        long sentAtMs = loop.nowMs();
        caller.call(request.request(), Math.max(1, request.remainingMs(sentAtMs)), onLoop(response -> {
            links.recordStateStoreRequest(response, sentAtMs);
            if (isServed(response)) {
                handleDirectSuccess();
                complete(request, response);
            } else {
                path.recordDirectFailure();
                handleCopyFailure(request, response);
            }
        }));
    }

    private void handleDirectSuccess() {
        path.recordDirectSuccess(loop.nowMs());
        if (path.isDirectRestored(loop.nowMs())) {
            log.info(
                    "state store path changed: path=direct reason=\"direct link restored\" relayedMs={}",
                    relayedForMs());
            path.switchTo(null, loop.nowMs());
        }
    }

    private void hedge(StateStoreRequest request) {
        if (path.isRelayed()
                && request.wasLastRelayedBy(path.relay())
                && request.isCompleted()
                && !request.isServedByRelay()) {
            switchToDirect("direct link faster than relay");
        } else if (!request.isCompleted() && sendCopyToUntriedRelay(request)) {
            schedule(hedgeDelayMs, () -> hedge(request));
        }
    }

    /** Sends a copy to a relay that has not had one; returns false if no relay or no time is left. */
    private boolean sendCopyToUntriedRelay(StateStoreRequest request) {
        long nowMs = loop.nowMs();
        if (path.isBreakerOpen(nowMs) || request.remainingMs(nowMs) <= 0) {
            return false;
        }
        Optional<String> relay = peers.stateStoreRelays().stream()
                .filter(peer -> !request.hasTried(peer))
                .findFirst();
        relay.ifPresent(peer -> sendCopyToRelay(peer, request));
        return relay.isPresent();
    }

    private void sendCopyToRelay(String relay, StateStoreRequest request) {
        long remainingMs = request.remainingMs(loop.nowMs());
        request.recordSentTo(relay);
        Request call = request.request();
        ByteBuffer content = call.body() == null ? null : ByteBuffer.wrap(call.body());
        long relayTimeoutMs = (long) (remainingMs * (1 - REPLY_TIME_RATIO));
        peerClient.send(
                relay,
                new StateCall(call.method(), call.path(), content, relayTimeoutMs),
                Math.max(1, remainingMs),
                onLoop(reply -> handleRelayReply(relay, request, reply)));
    }

    private void handleRelayReply(String relay, StateStoreRequest request, Object reply) {
        Response response = reply instanceof Outcome outcome
                ? Response.of(outcome.getStatus(), PeerProtocol.toBytes(outcome.getContent()))
                : Response.UNANSWERED;
        if (isServed(response)) {
            handleRelaySuccess(relay, request, response);
        } else {
            handleRelayFailure(relay, request, response);
        }
    }

    private void handleRelaySuccess(String relay, StateStoreRequest request, Response response) {
        request.recordServedByRelay();
        boolean isFirst = !request.isCompleted();
        complete(request, response);
        // A single slow response does not show that the direct link is down.
        boolean isPathDown = path.isRelayed() || !path.hasDirectSuccessSince(request.sentAtMs());
        if (isFirst && !path.isRelayedBy(relay) && isPathDown) {
            switchToRelay(relay);
        }
    }

    private void handleRelayFailure(String relay, StateStoreRequest request, Response response) {
        if (response.status() == HttpStatus.SERVICE_UNAVAILABLE) {
            path.openBreaker(loop.nowMs());
        }
        if (path.isRelayedBy(relay)) {
            // The next hedged request selects another relay if the direct link does not respond.
            switchToDirect("relay failed");
        }
        handleCopyFailure(request, response);
    }

    private void switchToRelay(String relay) {
        log.warn(
                "state store path changed: path=relay relay={} reason=\"old path does not respond\" openRequests={}",
                relay,
                openRequests.size());
        switchPath(relay);
    }

    private void switchToDirect(String reason) {
        log.info(
                "state store path changed: path=direct reason=\"{}\" relayedMs={} openRequests={}",
                reason,
                relayedForMs(),
                openRequests.size());
        switchPath(null);
    }

    /**
     * Switches to the relay, or to the direct link if null. Requests on the old path that are not hedged are completed
     * as unanswered.
     */
    private void switchPath(String newRelay) {
        path.switchTo(newRelay, loop.nowMs());
        for (StateStoreRequest request : List.copyOf(openRequests)) {
            if (!request.wasLastRelayedBy(newRelay) && !request.isHedged()) {
                complete(request, Response.UNANSWERED);
            }
        }
    }
}

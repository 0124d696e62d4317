package notchpick.app;

import java.nio.ByteBuffer;
import notchpick.protocol.Json;
import notchpick.protocol.PeerProtocol;
import notchpick.protocol.UserProtocol;
import notchpick.protocol.WorkerProtocol;
import notchpick.protocol.peer.Outcome;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpStatus;

/** The replies that a controller gives by itself, before a component has handled the request. */
final class ControllerReplies {

    private static final int RETRY_AFTER_S = 1;

    private ControllerReplies() {}

    static Response ok() {
        return empty(HttpStatus.OK);
    }

    /** A message for a peer, one of the generated classes. */
    static Response peerMessage(Object message) {
        return Response.of(HttpStatus.OK, PeerProtocol.encode(message));
    }

    /** A reply in the form in which it is relayed to a peer. */
    static Outcome relayed(Response reply) {
        return new Outcome(reply.status(), ByteBuffer.wrap(reply.body()));
    }

    static Response badRequest() {
        return empty(HttpStatus.BAD_REQUEST);
    }

    static Response badRequest(String message) {
        return Response.of(HttpStatus.BAD_REQUEST, Json.bytes(UserProtocol.error(message)));
    }

    static Response methodNotAllowed() {
        return empty(HttpStatus.METHOD_NOT_ALLOWED);
    }

    /** @param leader the controller that a worker should report to; null if none is known */
    static Response misdirected(String leader) {
        return Response.of(HttpStatus.MISDIRECTED_REQUEST, Json.bytes(WorkerProtocol.redirect(leader)));
    }

    static Response unavailable() {
        return empty(HttpStatus.SERVICE_UNAVAILABLE);
    }

    /** A user should retry, for this reason. */
    static Response unavailable(String reason) {
        return Response.retryAfter(
                HttpStatus.SERVICE_UNAVAILABLE, Json.bytes(UserProtocol.error(reason)), RETRY_AFTER_S);
    }

    private static Response empty(int status) {
        return Response.empty(status);
    }
}

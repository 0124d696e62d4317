package notchpick.app;

import java.nio.ByteBuffer;
import notchpick.protocol.Json;
import notchpick.protocol.PeerProtocol;
import notchpick.protocol.UserProtocol;
import notchpick.protocol.WorkerProtocol;
import notchpick.protocol.peer.Outcome;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpStatus;

/** Builds the replies that a controller sends without passing the request to a component. */
final class ControllerReplies {
    private static final int RETRY_AFTER_S = 1;

    private ControllerReplies() {}

    static Response ok() {
        return empty(HttpStatus.OK);
    }

    /**
     * The reply that carries a message to a peer.
     *
     * @param message an instance of one of the classes generated from the Avro schema
     */
    static Response peerMessage(Object message) {
        return Response.of(HttpStatus.OK, PeerProtocol.encode(message));
    }

    /** Converts a reply to the message that relays it to a peer. */
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

    /** @param leader the controller to which the worker should send its heartbeats; null if none is known */
    static Response misdirected(String leader) {
        return Response.of(HttpStatus.MISDIRECTED_REQUEST, Json.bytes(WorkerProtocol.redirect(leader)));
    }

    static Response unavailable() {
        return empty(HttpStatus.SERVICE_UNAVAILABLE);
    }

    /** The reply that asks a user to retry, with the reason why. */
    static Response unavailable(String reason) {
        return Response.retryAfter(
                HttpStatus.SERVICE_UNAVAILABLE, Json.bytes(UserProtocol.error(reason)), RETRY_AFTER_S);
    }

    private static Response empty(int status) {
        return Response.empty(status);
    }
}

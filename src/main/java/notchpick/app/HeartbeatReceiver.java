package notchpick.app;

import java.util.Optional;
import java.util.function.Consumer;
import notchpick.coordination.leader.Leader;
import notchpick.coordination.membership.HeartbeatRouter;
import notchpick.coordination.membership.LeaderElection;
import notchpick.protocol.InvalidMessageException;
import notchpick.protocol.Json;
import notchpick.protocol.PeerProtocol;
import notchpick.protocol.WorkerProtocol;
import notchpick.protocol.peer.Outcome;
import notchpick.protocol.peer.Outcomes;
import notchpick.protocol.peer.ReportBatch;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpStatus;
import notchpick.transport.ResultCollector;
import notchpick.transport.Timer;

/** Passes workers' heartbeats to the local leader, or to the heartbeat router if this controller does not lead. */
final class HeartbeatReceiver {
    private final String node;
    private final EventLoop loop;
    private final Timer timer;
    private final LocalLeader localLeader;
    private final LeaderElection election;
    private final HeartbeatRouter router;

    HeartbeatReceiver(
            String node,
            EventLoop loop,
            Timer timer,
            LocalLeader localLeader,
            LeaderElection election,
            HeartbeatRouter router) {
        this.node = node;
        this.loop = loop;
        this.timer = timer;
        this.localLeader = localLeader;
        this.election = election;
        this.router = router;
    }

    /** Handles a heartbeat that a worker sent to this controller. */
    void receive(Request request, Consumer<Response> reply, long receivedAtMs) {
        if (loop.nowMs() - receivedAtMs > WorkerProtocol.REPLY_TIMEOUT_MS) {
            // The worker's request has timed out; handling it would only delay the heartbeats queued behind it.
            reply.accept(ControllerReplies.unavailable());
        } else if (!request.method().equals("POST")) {
            reply.accept(ControllerReplies.methodNotAllowed());
        } else {
            handle(request, closingUnlessOk(reply), receivedAtMs);
        }
    }

    /**
     * Closes the connection unless the reply is 200. A redirected worker would otherwise leave its connection open, and
     * there are thousands of workers.
     */
    private static Consumer<Response> closingUnlessOk(Consumer<Response> reply) {
        return response -> reply.accept(response.status() == HttpStatus.OK ? response : response.closingConnection());
    }

    private void handle(Request request, Consumer<Response> reply, long receivedAtMs) {
        Optional<Leader> leader = localLeader.current();
        if (leader.isPresent()) {
            handle(leader.get(), request.body(), reply, false);
        } else {
            router.tell(new HeartbeatRouter.HeartbeatReceived(request, reply, receivedAtMs));
        }
    }

    private static void handle(Leader leader, byte[] body, Consumer<Response> reply, boolean relayed) {
        try {
            leader.tell(new Leader.HeartbeatReceived(WorkerProtocol.heartbeat(Json.object(body)), reply, relayed));
        } catch (InvalidMessageException e) {
            reply.accept(ControllerReplies.badRequest(e.getMessage()));
        }
    }

    /** Handles heartbeats that a peer relays. They are not relayed again, as they could circulate forever. */
    void receiveRelayed(ReportBatch batch, Consumer<Response> reply, long receivedAtMs) {
        long timeLeftMs = batch.getPatienceMs() - (loop.nowMs() - receivedAtMs);
        ResultCollector<Outcome> outcomes = new ResultCollector<>(
                batch.getReports().size(),
                ControllerReplies.relayed(ControllerReplies.unavailable()),
                all -> reply.accept(ControllerReplies.peerMessage(new Outcomes(all))));
        // A reply after the worker's timeout is useless, and waiting for it would delay the replies to other workers.
        timer.schedule(Math.max(0, timeLeftMs), outcomes::complete);
        for (int i = 0; i < batch.getReports().size() && timeLeftMs > 0; i++) {
            int index = i;
            Consumer<Response> replyToWorker = response -> outcomes.put(index, ControllerReplies.relayed(response));
            Optional<Leader> leader = localLeader.current();
            if (leader.isPresent()) {
                byte[] body = PeerProtocol.toBytes(batch.getReports().get(i));
                handle(leader.get(), body, replyToWorker, true);
            } else {
                replyToWorker.accept(ControllerReplies.misdirected(otherLeader()));
            }
        }
    }

    /**
     * The leader to which a worker can be redirected; null if none is known, or if the known leader is this controller,
     * whose term has ended.
     */
    private String otherLeader() {
        return node.equals(election.leader()) ? null : election.leader();
    }
}

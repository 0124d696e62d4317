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

/** Hands workers' heartbeats to the leader here, or to the heartbeat router if this controller does not lead. */
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

    /** Takes a heartbeat that a worker sent to this controller. */
    void receive(Request request, Consumer<Response> reply, long receivedAt) {
        if (loop.nowMs() - receivedAt > WorkerProtocol.REPLY_TIMEOUT_MS) {
            // The worker has timed out; handling the heartbeat would only delay those that wait behind it.
            reply.accept(ControllerReplies.unavailable());
        } else if (!request.method().equals("POST")) {
            reply.accept(ControllerReplies.methodNotAllowed());
        } else {
            handle(request, closingUnlessOk(reply), receivedAt);
        }
    }

    /** A redirected worker would leave its connection open, and there are thousands of workers. */
    private static Consumer<Response> closingUnlessOk(Consumer<Response> reply) {
        return response -> reply.accept(response.status() == HttpStatus.OK ? response : response.closingConnection());
    }

    private void handle(Request request, Consumer<Response> reply, long receivedAt) {
        Optional<Leader> leader = localLeader.current();
        if (leader.isPresent()) {
            handle(leader.get(), request.body(), reply, false);
        } else {
            router.tell(new HeartbeatRouter.HeartbeatReceived(request, reply, receivedAt));
        }
    }

    private static void handle(Leader leader, byte[] body, Consumer<Response> reply, boolean relayed) {
        try {
            leader.tell(new Leader.HeartbeatReceived(WorkerProtocol.heartbeat(Json.object(body)), reply, relayed));
        } catch (InvalidMessageException e) {
            reply.accept(ControllerReplies.badRequest(e.getMessage()));
        }
    }

    /** Takes heartbeats that a peer relays. They are not relayed further, which could go round in circles. */
    void receiveRelayed(ReportBatch batch, Consumer<Response> reply, long receivedAt) {
        long timeLeftMs = batch.getPatienceMs() - (loop.nowMs() - receivedAt);
        ResultCollector<Outcome> outcomes = new ResultCollector<>(
                batch.getReports().size(),
                ControllerReplies.relayed(ControllerReplies.unavailable()),
                all -> reply.accept(ControllerReplies.peerMessage(new Outcomes(all))));
        // A reply after the worker's timeout is of no use, and must not delay those to the other workers.
        timer.schedule(Math.max(0, timeLeftMs), outcomes::complete);
        for (int i = 0; i < batch.getReports().size() && timeLeftMs > 0; i++) {
            int index = i;
            Consumer<Response> replyToOne = response -> outcomes.put(index, ControllerReplies.relayed(response));
            Optional<Leader> leader = localLeader.current();
            if (leader.isPresent()) {
                byte[] body = PeerProtocol.toBytes(batch.getReports().get(i));
                handle(leader.get(), body, replyToOne, true);
            } else {
                replyToOne.accept(ControllerReplies.misdirected(otherLeader()));
            }
        }
    }

    /** The leader as far as it is known; null if there is none, or if it is this controller, whose term has ended. */
    private String otherLeader() {
        return node.equals(election.leader()) ? null : election.leader();
    }
}

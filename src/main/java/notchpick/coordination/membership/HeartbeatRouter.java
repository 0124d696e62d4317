package notchpick.coordination.membership;

import java.util.function.Consumer;
import notchpick.coordination.Deployment;
import notchpick.coordination.membership.HeartbeatRelayQueue.RelayedHeartbeat;
import notchpick.coordination.membership.HeartbeatRoutingPolicy.Decision;
import notchpick.coordination.membership.HeartbeatRoutingPolicy.RedirectToLeader;
import notchpick.coordination.membership.HeartbeatRoutingPolicy.RedirectToPeer;
import notchpick.coordination.membership.HeartbeatRoutingPolicy.RelayToLeader;
import notchpick.protocol.InvalidMessageException;
import notchpick.protocol.Json;
import notchpick.protocol.UserProtocol;
import notchpick.protocol.WorkerProtocol;
import notchpick.protocol.WorkerProtocol.Heartbeat;
import notchpick.transport.Actor;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpStatus;

/**
 * Handles workers' heartbeats at a controller that does not lead: redirects the worker, or relays the heartbeat to the
 * leader and passes back the reply within the worker's timeout. A heartbeat is relayed at most once.
 */
public final class HeartbeatRouter extends Actor<HeartbeatRouter.Message> {
    /** The messages of this actor. */
    public sealed interface Message {}

    /** Starts the periodic removal of outdated state; sent once, when the process starts. */
    public record Begin() implements Message {}

    /**
     * Delivers a worker's heartbeat.
     *
     * @param receivedAtMs when it was received, in milliseconds of the steady clock
     */
    public record HeartbeatReceived(Request request, Consumer<Response> reply, long receivedAtMs) implements Message {}

    private final String node;
    private final long heartbeatPeriodMs;
    private final LeaderElection election;
    private final HeartbeatRoutingPolicy policy;
    private final HeartbeatRelayQueue relayQueue;
    private int redirects;

    public HeartbeatRouter(
            EventLoop loop,
            Deployment deployment,
            LeaderElection election,
            PeerRegistry peers,
            PeerClient peerClient,
            LinkMonitor links) {
        super(loop);
        this.node = deployment.node();
        this.heartbeatPeriodMs = deployment.heartbeatPeriodMs();
        this.election = election;
        this.policy = new HeartbeatRoutingPolicy(deployment, peers, links);
        this.relayQueue = new HeartbeatRelayQueue(loop, deployment, election, peers, peerClient);
    }

    /** The number of recent redirects of workers to the leader; halved once per heartbeat period. */
    public int redirects() {
        return redirects;
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof Begin) {
            scheduleRepeatedly(heartbeatPeriodMs, this::endPeriod);
        } else if (message instanceof HeartbeatReceived received) {
            try {
                Heartbeat heartbeat =
                        WorkerProtocol.heartbeat(Json.object(received.request().body()));
                route(received, heartbeat);
            } catch (InvalidMessageException e) {
                received.reply()
                        .accept(Response.of(HttpStatus.BAD_REQUEST, Json.bytes(UserProtocol.error(e.getMessage()))));
            }
        }
    }

    private void endPeriod() {
        redirects /= 2;
        policy.removeStaleRoutes(loop.nowMs());
        relayQueue.endPeriod();
    }

    private void route(HeartbeatReceived received, Heartbeat heartbeat) {
        String leader = election.leader();
        if (leader == null || leader.equals(node)) {
            redirect(received, null);
            return;
        }
        Decision decision = policy.decide(heartbeat, leader, election.term(), relayQueue.isBusy(), loop.nowMs());
        if (decision instanceof RedirectToLeader) {
            redirects++;
            redirect(received, leader);
        } else if (decision instanceof RedirectToPeer toPeer) {
            redirect(received, toPeer.peer());
        } else if (decision instanceof RelayToLeader toLeader) {
            RelayedHeartbeat relayed = new RelayedHeartbeat(
                    received.request().body(), received.reply(), received.receivedAtMs(), toLeader.route());
            relayQueue.add(relayed, leader);
        } else {
            redirect(received, null);
        }
    }

    /** @param controller null if none is known; the worker then tries the next controller of its list */
    private static void redirect(HeartbeatReceived received, String controller) {
        received.reply()
                .accept(Response.of(HttpStatus.MISDIRECTED_REQUEST, Json.bytes(WorkerProtocol.redirect(controller))));
    }
}

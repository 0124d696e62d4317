package notchpick.coordination.membership;

import java.util.function.Consumer;
import notchpick.coordination.Deployment;
import notchpick.protocol.peer.LinkTable;
import notchpick.protocol.peer.Pulse;
import notchpick.transport.Actor;
import notchpick.transport.EventLoop;

/** Exchanges heartbeats and link tables with the other controllers. {@link PeerRegistry} holds what they say. */
public final class PeerMembership extends Actor<PeerMembership.Message> {
    /** The messages of this actor. */
    public sealed interface Message {}

    /** The process has started: heartbeats are exchanged from now on. */
    public record Begin() implements Message {}

    /** A peer's heartbeat has arrived. */
    public record HeartbeatReceived(Pulse heartbeat) implements Message {}

    /** A peer's link table has arrived; the reply gets this controller's own. */
    public record LinkTableReceived(LinkTable table, Consumer<LinkTable> reply) implements Message {}

    /** Controllers exchange so many heartbeats in a heartbeat period of the workers. */
    private static final int HEARTBEATS_PER_WORKER_HEARTBEAT = 4;
    /** Link tables are exchanged once in so many heartbeats. */
    private static final int HEARTBEATS_PER_LINK_TABLE = 4;
    /** A request that is a part of the exchange times out after so many heartbeat periods. */
    private static final int TIMEOUT_PERIODS = 2;

    private final PeerClient client;
    private final PeerRegistry registry;
    private final LocalStatus localStatus;
    private final HeartbeatListener listener;
    private final long periodMs;
    private final long linkTablePeriodMs;
    private final long timeoutMs;
    private long lastHeartbeatAtMs;
    private long heartbeatLagMs;

    public PeerMembership(
            EventLoop loop,
            Deployment deployment,
            PeerClient client,
            PeerRegistry registry,
            LocalStatus localStatus,
            HeartbeatListener listener) {
        super(loop);
        this.client = client;
        this.registry = registry;
        this.localStatus = localStatus;
        this.listener = listener;
        this.periodMs = heartbeatPeriodMs(deployment);
        this.linkTablePeriodMs = linkTablePeriodMs(deployment);
        this.timeoutMs = TIMEOUT_PERIODS * periodMs;
    }

    /** How often controllers send each other heartbeats, in milliseconds. */
    static long heartbeatPeriodMs(Deployment deployment) {
        return deployment.heartbeatPeriodMs() / HEARTBEATS_PER_WORKER_HEARTBEAT;
    }

    /** How often controllers exchange link tables, in milliseconds. */
    static long linkTablePeriodMs(Deployment deployment) {
        return HEARTBEATS_PER_LINK_TABLE * heartbeatPeriodMs(deployment);
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof Begin) {
            scheduleRepeatedly(periodMs, this::sendHeartbeats);
            scheduleRepeatedly(linkTablePeriodMs, this::exchangeLinkTables);
        } else if (message instanceof HeartbeatReceived received) {
            handleHeartbeat(received.heartbeat());
        } else if (message instanceof LinkTableReceived received) {
            registry.recordLinkTable(received.table());
            received.reply().accept(localStatus.linkTable());
        }
    }

    private void sendHeartbeats() {
        long nowMs = loop.nowMs();
        heartbeatLagMs = lastHeartbeatAtMs == 0 ? 0 : Math.max(0, nowMs - lastHeartbeatAtMs - periodMs);
        lastHeartbeatAtMs = nowMs;
        client.broadcast(localStatus.heartbeat(), timeoutMs, reply -> {
            if (reply instanceof Pulse heartbeat) {
                handleHeartbeat(heartbeat);
            }
        });
    }

    private void handleHeartbeat(Pulse heartbeat) {
        registry.recordHeartbeat(heartbeat);
        listener.heartbeatReceived(heartbeat);
    }

    /** A controller of a version without link tables refuses the message, and is not used as a relay. */
    private void exchangeLinkTables() {
        LinkTable own = localStatus.linkTable();
        log.debug("links: {}", own);
        client.broadcast(own, timeoutMs, reply -> {
            if (reply instanceof LinkTable table) {
                registry.recordLinkTable(table);
            }
        });
    }

    /** How late this controller's last heartbeat went out, in milliseconds: a sign of an overloaded process. */
    public long heartbeatLagMs() {
        return heartbeatLagMs;
    }
}

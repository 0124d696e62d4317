package notchpick.coordination.membership;

import java.util.function.Consumer;
import notchpick.coordination.Deployment;
import notchpick.protocol.peer.LinkTable;
import notchpick.protocol.peer.Pulse;
import notchpick.transport.Actor;
import notchpick.transport.EventLoop;

/** Exchanges heartbeats and link tables with the other controllers. {@link PeerRegistry} stores what they send. */
public final class PeerMembership extends Actor<PeerMembership.Message> {
    /** The messages of this actor. */
    public sealed interface Message {}

    /** Starts the exchange of heartbeats and link tables; sent once, when the process starts. */
    public record Begin() implements Message {}

    /** Delivers a peer's heartbeat. */
    public record HeartbeatReceived(Pulse heartbeat) implements Message {}

    /** Delivers a peer's link table; the callback gets this controller's own table. */
    public record LinkTableReceived(LinkTable table, Consumer<LinkTable> reply) implements Message {}

    /** The number of heartbeats that controllers exchange per heartbeat period of the workers. */
    private static final int HEARTBEATS_PER_WORKER_HEARTBEAT = 4;
    /** Link tables are exchanged once per this many heartbeats. */
    private static final int HEARTBEATS_PER_LINK_TABLE = 4;
    /** Heartbeat and link table requests time out after this many heartbeat periods. */
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

    /** The interval at which controllers exchange heartbeats, in milliseconds. */
    static long heartbeatPeriodMs(Deployment deployment) {
        return deployment.heartbeatPeriodMs() / HEARTBEATS_PER_WORKER_HEARTBEAT;
    }

    /** The interval at which controllers exchange link tables, in milliseconds. */
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

    /** Exchanges link tables. A controller of a version without them refuses the message and is not used as a relay. */
    private void exchangeLinkTables() {
        LinkTable own = localStatus.linkTable();
        log.debug("links: {}", own);
        client.broadcast(own, timeoutMs, reply -> {
            if (reply instanceof LinkTable table) {
                registry.recordLinkTable(table);
            }
        });
    }

    /** How late the last heartbeat was sent, in milliseconds; a high value indicates an overloaded process. */
    public long heartbeatLagMs() {
        return heartbeatLagMs;
    }
}

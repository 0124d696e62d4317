package notchpick.coordination.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import notchpick.coordination.Deployment;
import notchpick.protocol.peer.LinkCondition;
import notchpick.protocol.peer.LinkKind;
import notchpick.protocol.peer.LinkRow;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller.Response;

/**
 * The health of this controller's own links. It is only used to choose a controller and a path, and must never be taken
 * to show that a task, a machine's resources or a term is free.
 */
public final class LinkMonitor {
    private final EventLoop loop;
    private final long heartbeatPeriodMs;
    private final LinkHealth stateStore;
    private final LinkHealth users;
    private final Map<String, LinkHealth> peers = new HashMap<>();
    /** The link to the workers that send heartbeats directly to this controller and receive the replies, by zone. */
    private final Map<String, LinkHealth> workersByZone = new TreeMap<>();

    public LinkMonitor(EventLoop loop, Deployment deployment) {
        this.loop = loop;
        this.heartbeatPeriodMs = deployment.heartbeatPeriodMs();
        this.stateStore = new LinkHealth(heartbeatPeriodMs);
        this.users = new LinkHealth(heartbeatPeriodMs);
        deployment.peers().forEach(peer -> peers.put(peer.node(), new LinkHealth(heartbeatPeriodMs)));
    }

    /** Records a completed request to the state store over the direct link. */
    void recordStateStoreRequest(Response response, long sentAtMs) {
        stateStore.recordRequest(response, sentAtMs, loop.nowMs());
    }

    /** Records a completed request to a peer. */
    void recordPeerRequest(String peer, Response response, long sentAtMs) {
        peers.get(peer).recordRequest(response, sentAtMs, loop.nowMs());
    }

    /** Records a readiness probe of the users' load balancer. */
    public void recordReadinessProbe() {
        users.recordMessage(loop.nowMs());
    }

    /**
     * Records that a worker of this zone has received a reply from this controller. Callers conclude that from the next
     * heartbeat in sequence also coming to this controller; a single heartbeat does not show that replies arrive.
     */
    public void recordWorkerReply(String zone) {
        workersByZone
                .computeIfAbsent(zone, name -> new LinkHealth(heartbeatPeriodMs))
                .recordMessage(loop.nowMs());
    }

    /** Whether the peer has responded within this time, and the link is up after the newest request. */
    boolean isPeerResponsive(String peer, long withinMs) {
        LinkHealth link = peers.get(peer);
        return link != null
                && link.condition() == LinkHealth.Condition.UP
                && link.isActiveWithin(withinMs, loop.nowMs());
    }

    /** The time since a worker last received a reply from this controller, in milliseconds; -1 if none has. */
    public long workerLinkAgeMs() {
        long nowMs = loop.nowMs();
        return workersByZone.values().stream()
                .mapToLong(link -> link.ageMs(nowMs))
                .min()
                .orElse(-1);
    }

    /** One row per link, for the link table that controllers exchange. */
    public List<LinkRow> linkRows() {
        List<LinkRow> rows = new ArrayList<>();
        rows.add(row(LinkKind.STATE, "", stateStore));
        new TreeMap<>(peers).forEach((node, link) -> rows.add(row(LinkKind.PEER, node, link)));
        workersByZone.forEach((zone, link) -> rows.add(row(LinkKind.WORKERS, zone, link)));
        rows.add(row(LinkKind.USERS, "", users));
        return rows;
    }

    private LinkRow row(LinkKind kind, String name, LinkHealth link) {
        long nowMs = loop.nowMs();
        return new LinkRow(
                kind,
                name,
                LinkCondition.valueOf(link.condition().name()),
                link.ageMs(nowMs),
                link.meanLatencyMs(),
                link.ratePerS(nowMs));
    }
}

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
 * The health of this controller's own links. It chooses whom to ask and over which path, and never says that a task, a
 * machine's resources or a term is free.
 */
public final class LinkMonitor {
    private final EventLoop loop;
    private final long heartbeatPeriodMs;
    private final LinkHealth stateStore;
    private final LinkHealth users;
    private final Map<String, LinkHealth> peers = new HashMap<>();
    /** By zone, the link to those workers that send heartbeats directly here and receive the replies. */
    private final Map<String, LinkHealth> workersByZone = new TreeMap<>();

    public LinkMonitor(EventLoop loop, Deployment deployment) {
        this.loop = loop;
        this.heartbeatPeriodMs = deployment.heartbeatPeriodMs();
        this.stateStore = new LinkHealth(heartbeatPeriodMs);
        this.users = new LinkHealth(heartbeatPeriodMs);
        deployment.peers().forEach(peer -> peers.put(peer.node(), new LinkHealth(heartbeatPeriodMs)));
    }

    /** A request sent directly to the state store has completed. */
    void recordStateStoreRequest(Response response, long sentAtMs) {
        stateStore.recordRequest(response, sentAtMs, loop.nowMs());
    }

    /** A request to a peer has completed. */
    void recordPeerRequest(String peer, Response response, long sentAtMs) {
        peers.get(peer).recordRequest(response, sentAtMs, loop.nowMs());
    }

    /** The users' load balancer has asked whether this controller is ready. */
    public void recordReadinessProbe() {
        users.recordMessage(loop.nowMs());
    }

    /**
     * A worker of this zone has received a reply from here: the heartbeat that follows the one replied to has come to
     * the same place. A heartbeat alone does not show that replies arrive.
     */
    public void recordWorkerReply(String zone) {
        workersByZone
                .computeIfAbsent(zone, name -> new LinkHealth(heartbeatPeriodMs))
                .recordMessage(loop.nowMs());
    }

    /** Whether a peer has responded within this time, and the last request to it got a response too. */
    boolean isPeerResponsive(String peer, long withinMs) {
        LinkHealth link = peers.get(peer);
        return link != null
                && link.condition() == LinkHealth.Condition.UP
                && link.isActiveWithin(withinMs, loop.nowMs());
    }

    /** The time since any worker last received a reply from here, in milliseconds; -1 if none ever has. */
    public long workerLinkAgeMs() {
        long nowMs = loop.nowMs();
        return workersByZone.values().stream()
                .mapToLong(link -> link.ageMs(nowMs))
                .min()
                .orElse(-1);
    }

    /** One row for each link, for the link table that controllers exchange. */
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

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
 * The links of this controller, as it sees them itself. These are opinions: they say whom to ask and by which way,
 * never that a task, a room or a term is free.
 */
public final class LinkMonitor {
    private final EventLoop loop;
    private final long periodMs;
    private final LinkHealth state;
    private final LinkHealth users;
    private final Map<String, LinkHealth> peers = new HashMap<>();
    /** Of workers that report here themselves and get the answers, by their zone. */
    private final Map<String, LinkHealth> workers = new TreeMap<>();

    public LinkMonitor(EventLoop loop, Deployment deployment) {
        this.loop = loop;
        this.periodMs = deployment.heartbeatPeriodMs();
        this.state = new LinkHealth(periodMs);
        this.users = new LinkHealth(periodMs);
        deployment.peers().forEach(peer -> peers.put(peer.node(), new LinkHealth(periodMs)));
    }

    void stateEnded(Response answer, long sentAt) {
        state.ended(answer, sentAt, loop.nowMs());
    }

    void peerEnded(String node, Response answer, long sentAt) {
        peers.get(node).ended(answer, sentAt, loop.nowMs());
    }

    /** The balancer has asked whether this controller is ready. */
    public void usersHeard() {
        users.heard(loop.nowMs());
    }

    /**
     * A worker of this zone has got an answer from here: it came by itself with the report that follows the one
     * answered. That a report comes in says nothing of the way back.
     */
    public void workerHeard(String zone) {
        workers.computeIfAbsent(zone, z -> new LinkHealth(periodMs)).heard(loop.nowMs());
    }

    /** Whether a peer has answered within this time, and the last call to it was answered too. */
    boolean answers(String node, long withinMs) {
        LinkHealth link = peers.get(node);
        return link != null && link.condition() == LinkHealth.Condition.UP && link.isFresh(loop.nowMs(), withinMs);
    }

    /** Since any worker last got an answer from here; -1: none ever. */
    public long workersAgeMs() {
        long now = loop.nowMs();
        return workers.values().stream()
                .mapToLong(link -> link.ageMs(now))
                .min()
                .orElse(-1);
    }

    /** One row for each link, as told to others. */
    public List<LinkRow> rows() {
        List<LinkRow> rows = new ArrayList<>();
        rows.add(row(LinkKind.STATE, "", state));
        new TreeMap<>(peers).forEach((node, link) -> rows.add(row(LinkKind.PEER, node, link)));
        workers.forEach((zone, link) -> rows.add(row(LinkKind.WORKERS, zone, link)));
        rows.add(row(LinkKind.USERS, "", users));
        return rows;
    }

    private LinkRow row(LinkKind kind, String name, LinkHealth link) {
        long now = loop.nowMs();
        return new LinkRow(
                kind,
                name,
                LinkCondition.valueOf(link.condition().name()),
                link.ageMs(now),
                link.delayMs(),
                link.perS(now));
    }
}

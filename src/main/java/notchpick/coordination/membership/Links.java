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
import notchpick.transport.Caller.Answer;
import notchpick.transport.EventLoop;

/**
 * The links of this controller, as it sees them itself. These are opinions: they say whom to ask and by which way,
 * never that a task, a room or a term is free.
 */
public final class Links {
    private final EventLoop loop;
    private final long periodMs;
    private final Link state;
    private final Link users;
    private final Map<String, Link> peers = new HashMap<>();
    /** Of workers that report here themselves and get the answers, by their zone. */
    private final Map<String, Link> workers = new TreeMap<>();

    public Links(EventLoop loop, Deployment deployment) {
        this.loop = loop;
        this.periodMs = (long) (deployment.reportS() * 1000);
        this.state = new Link(periodMs);
        this.users = new Link(periodMs);
        deployment.peers().forEach(peer -> peers.put(peer.node(), new Link(periodMs)));
    }

    void stateEnded(Answer answer, long sentAt) {
        state.ended(answer, sentAt, loop.now());
    }

    void peerEnded(String node, Answer answer, long sentAt) {
        peers.get(node).ended(answer, sentAt, loop.now());
    }

    /** The balancer has asked whether this controller is ready. */
    public void usersHeard() {
        users.heard(loop.now());
    }

    /**
     * A worker of this zone has got an answer from here: it came by itself with the report that follows the one
     * answered. That a report comes in says nothing of the way back.
     */
    public void workerHeard(String zone) {
        workers.computeIfAbsent(zone, z -> new Link(periodMs)).heard(loop.now());
    }

    /** Whether a peer has answered within this time, and the last call to it was answered too. */
    boolean answers(String node, long withinMs) {
        Link link = peers.get(node);
        return link != null && link.condition() == Link.Condition.UP && link.isFresh(loop.now(), withinMs);
    }

    /** Since any worker last got an answer from here; -1: none ever. */
    public long workersAgeMs() {
        long now = loop.now();
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

    private LinkRow row(LinkKind kind, String name, Link link) {
        long now = loop.now();
        return new LinkRow(
                kind,
                name,
                LinkCondition.valueOf(link.condition().name()),
                link.ageMs(now),
                link.delayMs(),
                link.perS(now));
    }
}

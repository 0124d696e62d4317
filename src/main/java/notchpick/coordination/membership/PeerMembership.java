package notchpick.coordination.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import notchpick.coordination.Deployment;
import notchpick.protocol.PeerProtocol;
import notchpick.protocol.peer.LinkCondition;
import notchpick.protocol.peer.LinkKind;
import notchpick.protocol.peer.LinkRow;
import notchpick.protocol.peer.LinkTable;
import notchpick.protocol.peer.Progress;
import notchpick.protocol.peer.Pulse;
import notchpick.protocol.peer.Relay;
import notchpick.protocol.peer.Relayed;
import notchpick.transport.Actor;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;

/** Exchanges signs of life with the other controllers and keeps what they last said. */
public final class PeerMembership extends Actor<PeerMembership.Message> {
    /** What this actor is told. */
    public sealed interface Message {}

    /** Start to exchange heartbeats. */
    public record Begin() implements Message {}

    /** A peer's heartbeat has arrived. */
    public record Heard(Pulse pulse) implements Message {}

    /** A peer has told its links; gives this controller's own. */
    public record LinksTold(LinkTable table, Consumer<LinkTable> reply) implements Message {}

    private record Last(Pulse pulse, long at) {}

    private record Told(LinkTable table, long at) {}

    /** Who has not been heard of for so many signs of life counts as gone, wherever that only moves liveness. */
    private static final int FRESH_PULSES = 3;
    /** Links are told once in so many signs of life: a report period. */
    private static final int PULSES_FOR_LINKS = 4;

    private final Deployment deployment;
    private final HttpCaller caller;
    private final Supplier<Pulse> own;
    private final Consumer<Pulse> heard;
    private final LinkMonitor links;
    private final Supplier<LinkTable> ownLinks;
    private final long periodMs;
    private final Map<String, Told> told = new HashMap<>();
    private final Map<String, Last> last = new HashMap<>();
    /** Counts of open jobs as a leader last told them. */
    private final Map<String, Progress> progress = new HashMap<>();

    private Last shown;
    private long pulsedAt;
    private long lagMs;

    /**
     * @param own what this controller's signs of life say
     * @param heard hears those of others
     * @param ownLinks what this controller tells of its links
     */
    public PeerMembership(
            EventLoop loop,
            Deployment deployment,
            HttpCaller caller,
            Supplier<Pulse> own,
            Consumer<Pulse> heard,
            LinkMonitor links,
            Supplier<LinkTable> ownLinks) {
        super(loop);
        this.deployment = deployment;
        this.caller = caller;
        this.own = own;
        this.heard = heard;
        this.links = links;
        this.ownLinks = ownLinks;
        this.periodMs = deployment.heartbeatPeriodMs() / 4;
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof Begin) {
            every(periodMs, this::pulse);
            every(PULSES_FOR_LINKS * periodMs, this::tellLinks);
        } else if (message instanceof Heard news) {
            hear(news.pulse());
        } else if (message instanceof LinksTold news) {
            note(news.table());
            news.reply().accept(ownLinks.get());
        }
    }

    private void note(LinkTable table) {
        if (address(table.getNode()) != null) {
            told.put(table.getNode(), new Told(table, loop.nowMs()));
        }
    }

    /** A controller of a version that knows of no links refuses the message, and is not counted on to pass calls. */
    private void tellLinks() {
        LinkTable table = ownLinks.get();
        log.debug("links {}", table);
        for (Deployment.Peer peer : deployment.peers()) {
            ask(peer.node(), table, 2 * periodMs, reply -> {
                if (reply instanceof LinkTable links) {
                    note(links);
                }
            });
        }
    }

    /** How late this controller's last sign of life went out. */
    public long lagMs() {
        return lagMs;
    }

    /** What a peer has lately told of its links, or null. */
    public LinkTable linksOf(String node) {
        Told entry = told.get(node);
        return entry == null || loop.nowMs() - entry.at() > 2 * PULSES_FOR_LINKS * periodMs ? null : entry.table();
    }

    /**
     * How long ago a peer's link last gave a sign, by what it has lately told; -1: it is down, or not known here.
     *
     * @param name null: the one of this kind that gave the last sign
     */
    public long linkAgeMs(String node, LinkKind kind, String name) {
        LinkTable table = linksOf(node);
        long least = -1;
        if (table != null) {
            for (LinkRow row : table.getLinks()) {
                if (row.getKind() == kind
                        && (name == null || row.getName().equals(name))
                        && row.getCondition() == LinkCondition.UP) {
                    long age = row.getAgeMs() + loop.nowMs() - told.get(node).at();
                    least = least < 0 ? age : Math.min(least, age);
                }
            }
        }
        return least;
    }

    /** Whether calls to a peer are answered, and it can pass calls on. */
    public boolean canPass(String node) {
        return links.answers(node, FRESH_PULSES * periodMs) && linksOf(node) != null;
    }

    /** Peers that can pass calls on to the state service, which they reach themselves. */
    List<String> wayToState() {
        return live().stream()
                .filter(node -> canPass(node) && last.get(node).pulse().getStateReachable())
                .toList();
    }

    private void pulse() {
        long now = loop.nowMs();
        lagMs = pulsedAt == 0 ? 0 : Math.max(0, now - pulsedAt - periodMs);
        pulsedAt = now;
        byte[] body = PeerProtocol.bytes(own.get());
        for (Deployment.Peer peer : deployment.peers()) {
            call(peer.node(), peer.address(), body, 2 * periodMs, here(answer -> {
                if (answer.status() == 200 && PeerProtocol.body(answer.body()) instanceof Pulse pulse) {
                    hear(pulse);
                }
            }));
        }
    }

    private void hear(Pulse pulse) {
        Last heardNow = new Last(pulse, loop.nowMs());
        last.put(pulse.getNode(), heardNow);
        if (!pulse.getProgress().isEmpty()) {
            shown = heardNow;
            progress.clear();
            pulse.getProgress().forEach(one -> progress.put(one.getJob(), one));
        }
        heard.accept(pulse);
    }

    private boolean fresh(Last entry) {
        return entry != null && loop.nowMs() - entry.at() <= FRESH_PULSES * periodMs;
    }

    /** The peers that have lately been heard of. */
    public List<String> live() {
        List<String> live = new ArrayList<>();
        for (Deployment.Peer peer : deployment.peers()) {
            if (fresh(last.get(peer.node()))) {
                live.add(peer.node());
            }
        }
        return live;
    }

    /** A live peer that reaches the state service, or null. */
    public String withState() {
        for (String node : live()) {
            if (last.get(node).pulse().getStateReachable()) {
                return node;
            }
        }
        return null;
    }

    /** How many workers the peers have lately sent on to the leader. */
    public int redirects() {
        return live().stream()
                .mapToInt(node -> last.get(node).pulse().getRedirects())
                .sum();
    }

    /** A job's counts as its leader last told them, or null. */
    public Progress progress(String job) {
        return shown == null || !fresh(shown) ? null : progress.get(job);
    }

    /** The address at which the peer is reached. */
    public String address(String node) {
        for (Deployment.Peer peer : deployment.peers()) {
            if (peer.node().equals(node)) {
                return peer.address();
            }
        }
        return null;
    }

    /** Sends a message and gives what comes back, null if nothing does. */
    public void ask(String node, Object message, long timeoutMs, Consumer<Object> then) {
        call(
                node,
                address(node),
                PeerProtocol.bytes(message),
                timeoutMs,
                here(answer -> then.accept(answer.status() == 200 ? PeerProtocol.body(answer.body()) : null)));
    }

    private void call(String node, String address, byte[] body, long timeoutMs, Consumer<Response> then) {
        long sentAt = loop.nowMs();
        caller.call(new Request(address, "POST", PeerProtocol.PATH, body), timeoutMs, answer -> {
            links.peerEnded(node, answer, sentAt);
            then.accept(answer);
        });
    }

    /** Passes a user's request on to a peer. */
    public void relay(String node, Request call, long timeoutMs, Consumer<Response> then) {
        String content = call.body() == null ? "" : new String(call.body(), java.nio.charset.StandardCharsets.UTF_8);
        ask(node, new Relay(call.method(), call.path(), content), timeoutMs, reply -> {
            if (reply instanceof Relayed relayed) {
                then.accept(new Response(
                        relayed.getStatus(),
                        relayed.getContent().getBytes(java.nio.charset.StandardCharsets.UTF_8),
                        relayed.getStatus() == 503 ? 1 : 0));
            } else {
                then.accept(Response.NONE);
            }
        });
    }
}

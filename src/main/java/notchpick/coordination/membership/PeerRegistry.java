package notchpick.coordination.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import notchpick.coordination.Deployment;
import notchpick.protocol.peer.LinkCondition;
import notchpick.protocol.peer.LinkKind;
import notchpick.protocol.peer.LinkRow;
import notchpick.protocol.peer.LinkTable;
import notchpick.protocol.peer.Progress;
import notchpick.protocol.peer.Pulse;
import notchpick.transport.EventLoop;

/**
 * What is known of the other controllers: their newest heartbeats and link tables, each with the time it came. A peer
 * whose last heartbeat is too old counts as down.
 */
public final class PeerRegistry {
    private record ReceivedHeartbeat(Pulse heartbeat, long receivedAtMs) {}

    private record ReceivedLinkTable(LinkTable table, long receivedAtMs) {}

    private static final long UNKNOWN_AGE = -1;
    /** A peer is live for so many heartbeat periods after its last heartbeat. */
    private static final int LIVE_PERIODS = 3;
    /** A link table counts for so many of the periods in which link tables are exchanged. */
    private static final int LINK_TABLE_PERIODS = 2;

    private final EventLoop clock;
    private final Deployment deployment;
    private final LinkMonitor links;
    private final long liveMs;
    private final long linkTableValidMs;
    private final Map<String, ReceivedHeartbeat> heartbeats = new HashMap<>();
    private final Map<String, ReceivedLinkTable> linkTables = new HashMap<>();
    /** By job, the counts that a leader's heartbeat last gave. */
    private final Map<String, Progress> progress = new HashMap<>();

    private ReceivedHeartbeat lastProgressHeartbeat;

    public PeerRegistry(EventLoop clock, Deployment deployment, LinkMonitor links) {
        this.clock = clock;
        this.deployment = deployment;
        this.links = links;
        this.liveMs = LIVE_PERIODS * PeerMembership.heartbeatPeriodMs(deployment);
        this.linkTableValidMs = LINK_TABLE_PERIODS * PeerMembership.linkTablePeriodMs(deployment);
    }

    /** A peer's heartbeat has arrived. */
    void recordHeartbeat(Pulse heartbeat) {
        ReceivedHeartbeat received = new ReceivedHeartbeat(heartbeat, clock.nowMs());
        heartbeats.put(heartbeat.getNode(), received);
        if (!heartbeat.getProgress().isEmpty()) {
            lastProgressHeartbeat = received;
            progress.clear();
            heartbeat.getProgress().forEach(job -> progress.put(job.getJob(), job));
        }
    }

    /** A link table has arrived; one from a sender that is no peer is ignored. */
    void recordLinkTable(LinkTable table) {
        if (isPeer(table.getNode())) {
            linkTables.put(table.getNode(), new ReceivedLinkTable(table, clock.nowMs()));
        }
    }

    private boolean isPeer(String node) {
        return deployment.peers().stream().anyMatch(peer -> peer.node().equals(node));
    }

    /** The peers whose last heartbeat is recent, in the order of the settings. */
    public List<String> livePeers() {
        List<String> live = new ArrayList<>();
        for (Deployment.Peer peer : deployment.peers()) {
            if (isRecent(heartbeats.get(peer.node()))) {
                live.add(peer.node());
            }
        }
        return live;
    }

    private boolean isRecent(ReceivedHeartbeat received) {
        return received != null && clock.nowMs() - received.receivedAtMs() <= liveMs;
    }

    /** A live peer that reaches the state store. */
    public Optional<String> peerReachingStateStore() {
        for (String peer : livePeers()) {
            if (reachesStateStore(peer)) {
                return Optional.of(peer);
            }
        }
        return Optional.empty();
    }

    private boolean reachesStateStore(String livePeer) {
        return heartbeats.get(livePeer).heartbeat().getStateReachable();
    }

    /** How many workers the live peers have lately redirected to the leader. */
    public int redirects() {
        return livePeers().stream()
                .mapToInt(peer -> heartbeats.get(peer).heartbeat().getRedirects())
                .sum();
    }

    /** A job's counts by the last heartbeat of its leader; null if there is no recent one. */
    public Progress progress(String job) {
        return isRecent(lastProgressHeartbeat) ? progress.get(job) : null;
    }

    /** Whether the peer has lately sent a link table; a controller of a version that can't relay sends none. */
    boolean hasLinkTable(String peer) {
        return recentLinkTable(peer) != null;
    }

    private ReceivedLinkTable recentLinkTable(String peer) {
        ReceivedLinkTable received = linkTables.get(peer);
        return received == null || clock.nowMs() - received.receivedAtMs() > linkTableValidMs ? null : received;
    }

    /** The least age of a peer's links of this kind, as {@link #linkAgeMs(String, LinkKind, String)} gives it. */
    long linkAgeMs(String peer, LinkKind kind) {
        return linkAgeMs(peer, kind, null);
    }

    /**
     * How long ago there was activity on a peer's link, by the peer's last link table, in milliseconds; -1 if the link
     * is not up, or nothing is known of it.
     *
     * @param name the peer or zone at the link's other end; null for any
     */
    long linkAgeMs(String peer, LinkKind kind, String name) {
        ReceivedLinkTable received = recentLinkTable(peer);
        if (received == null) {
            return UNKNOWN_AGE;
        }
        long sinceReceivedMs = clock.nowMs() - received.receivedAtMs();
        long leastMs = UNKNOWN_AGE;
        for (LinkRow row : received.table().getLinks()) {
            if (row.getKind() == kind
                    && (name == null || row.getName().equals(name))
                    && row.getCondition() == LinkCondition.UP) {
                long ageMs = row.getAgeMs() + sinceReceivedMs;
                leastMs = leastMs < 0 ? ageMs : Math.min(leastMs, ageMs);
            }
        }
        return leastMs;
    }

    /** Whether requests to a peer get responses, and it is of a version that can relay. */
    boolean canRelay(String peer) {
        return links.isPeerResponsive(peer, liveMs) && hasLinkTable(peer);
    }

    /** The peers that can relay requests to the state store, which they reach themselves. */
    List<String> stateStoreRelays() {
        return livePeers().stream()
                .filter(peer -> canRelay(peer) && reachesStateStore(peer))
                .toList();
    }
}

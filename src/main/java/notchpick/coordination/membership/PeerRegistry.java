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
 * Stores the newest heartbeat and link table of each other controller, with the time of receipt. A peer whose last
 * heartbeat is too old counts as down.
 */
public final class PeerRegistry {
    private record ReceivedHeartbeat(Pulse heartbeat, long receivedAtMs) {}

    private record ReceivedLinkTable(LinkTable table, long receivedAtMs) {}

    private static final long UNKNOWN_AGE = -1;
    /** A peer counts as live for this many heartbeat periods after its last heartbeat. */
    private static final int LIVE_PERIODS = 3;
    /** A link table is valid for this many exchange periods. */
    private static final int LINK_TABLE_PERIODS = 2;

    private final EventLoop clock;
    private final Deployment deployment;
    private final LinkMonitor links;
    private final long liveMs;
    private final long linkTableValidMs;
    private final Map<String, ReceivedHeartbeat> heartbeats = new HashMap<>();
    private final Map<String, ReceivedLinkTable> linkTables = new HashMap<>();
    /** The job counts of the last heartbeat that carried any, by job; only leaders send them. */
    private final Map<String, Progress> progress = new HashMap<>();

    private ReceivedHeartbeat lastProgressHeartbeat;

    public PeerRegistry(EventLoop clock, Deployment deployment, LinkMonitor links) {
        this.clock = clock;
        this.deployment = deployment;
        this.links = links;
        this.liveMs = LIVE_PERIODS * PeerMembership.heartbeatPeriodMs(deployment);
        this.linkTableValidMs = LINK_TABLE_PERIODS * PeerMembership.linkTablePeriodMs(deployment);
    }

    /** Stores a heartbeat, and the job counts in it if it carries any. */
    void recordHeartbeat(Pulse heartbeat) {
        ReceivedHeartbeat received = new ReceivedHeartbeat(heartbeat, clock.nowMs());
        heartbeats.put(heartbeat.getNode(), received);
        if (!heartbeat.getProgress().isEmpty()) {
            lastProgressHeartbeat = received;
            progress.clear();
            heartbeat.getProgress().forEach(job -> progress.put(job.getJob(), job));
        }
    }

    /** Stores a link table; ignored if the sender is not a configured peer. */
    void recordLinkTable(LinkTable table) {
        if (isPeer(table.getNode())) {
            linkTables.put(table.getNode(), new ReceivedLinkTable(table, clock.nowMs()));
        }
    }

    private boolean isPeer(String node) {
        return deployment.peers().stream().anyMatch(peer -> peer.node().equals(node));
    }

    /** The peers whose last heartbeat is recent, in the order of the configuration. */
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

    /** The first live peer whose last heartbeat says that it reaches the state store directly. */
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

    /** The number of recent redirects of workers to the leader, summed over the live peers. */
    public int redirects() {
        return livePeers().stream()
                .mapToInt(peer -> heartbeats.get(peer).heartbeat().getRedirects())
                .sum();
    }

    /** The job's counts from the last heartbeat that carried any; null if that is too old or lacks the job. */
    public Progress progress(String job) {
        return isRecent(lastProgressHeartbeat) ? progress.get(job) : null;
    }

    /** Whether the peer has a valid link table. Controllers of versions that can't relay send none. */
    boolean hasLinkTable(String peer) {
        return recentLinkTable(peer) != null;
    }

    private ReceivedLinkTable recentLinkTable(String peer) {
        ReceivedLinkTable received = linkTables.get(peer);
        return received == null || clock.nowMs() - received.receivedAtMs() > linkTableValidMs ? null : received;
    }

    /** The smallest {@link #linkAgeMs(String, LinkKind, String)} of the peer's links of this kind. */
    long linkAgeMs(String peer, LinkKind kind) {
        return linkAgeMs(peer, kind, null);
    }

    /**
     * The time since the last activity on a peer's link according to the peer's link table, in milliseconds; -1 if the
     * link is not up or the table has no such link or is too old. For several links, the smallest.
     *
     * @param name the peer or zone at the other end of the link; null for any
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

    /** Whether requests to the peer get responses and its version can relay. */
    boolean canRelay(String peer) {
        return links.isPeerResponsive(peer, liveMs) && hasLinkTable(peer);
    }

    /** The live peers that can relay requests to the state store. */
    List<String> stateStoreRelays() {
        return livePeers().stream()
                .filter(peer -> canRelay(peer) && reachesStateStore(peer))
                .toList();
    }
}

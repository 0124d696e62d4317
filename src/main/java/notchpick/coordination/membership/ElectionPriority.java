package notchpick.coordination.membership;

import notchpick.protocol.peer.LinkKind;

/**
 * Delays the campaign of a controller that is worse connected than others, so that a well connected one is elected. The
 * delay is bounded, so a badly connected controller still becomes leader if no other one campaigns.
 */
public final class ElectionPriority implements ElectionDelay {
    /** If workers reach a peer but not this controller, its wait is the leader lease divided by this number. */
    private static final int UNREACHED_BY_WORKERS_LEASE_PART = 8;
    /** Workers reach a controller if one of them received a reply from it within this many heartbeat periods. */
    private static final int WORKER_LINK_PERIODS = 2;

    private final LinkMonitor links;
    private final PeerRegistry peers;
    private final FailoverStateStoreTransport stateStoreTransport;
    private final long workerLinkMs;
    private final long leaderLeaseMs;

    public ElectionPriority(
            LinkMonitor links,
            PeerRegistry peers,
            FailoverStateStoreTransport stateStoreTransport,
            long heartbeatPeriodMs,
            long leaderLeaseMs) {
        this.links = links;
        this.peers = peers;
        this.stateStoreTransport = stateStoreTransport;
        this.workerLinkMs = WORKER_LINK_PERIODS * heartbeatPeriodMs;
        this.leaderLeaseMs = leaderLeaseMs;
    }

    @Override
    public long delayMs() {
        if (stateStoreTransport.isRelayed()) {
            return leaderLeaseMs;
        }
        boolean isBestReached = isReachedByWorkers(links.workerLinkAgeMs())
                || peers.livePeers().stream().noneMatch(this::isReachedByWorkers);
        return isBestReached ? 0 : leaderLeaseMs / UNREACHED_BY_WORKERS_LEASE_PART;
    }

    private boolean isReachedByWorkers(String peer) {
        return isReachedByWorkers(peers.linkAgeMs(peer, LinkKind.WORKERS));
    }

    private boolean isReachedByWorkers(long workerLinkAgeMs) {
        return workerLinkAgeMs >= 0 && workerLinkAgeMs <= workerLinkMs;
    }
}

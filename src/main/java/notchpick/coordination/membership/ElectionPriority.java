package notchpick.coordination.membership;

import java.util.function.LongSupplier;
import notchpick.protocol.peer.LinkKind;

/** How well this controller is connected to lead, compared with the others. Who is worse off lets others go first. */
public final class ElectionPriority implements LongSupplier {
    /** A leader that relies on others for so many worker leases lets one lead that need not. */
    public static final int LEANING_LEASES = 2;

    private final LinkMonitor links;
    private final PeerMembership peers;
    private final FailoverStateStoreTransport routes;
    private final long reportMs;
    private final long leaderLeaseMs;

    public ElectionPriority(
            LinkMonitor links,
            PeerMembership peers,
            FailoverStateStoreTransport routes,
            long reportMs,
            long leaderLeaseMs) {
        this.links = links;
        this.peers = peers;
        this.routes = routes;
        this.reportMs = reportMs;
        this.leaderLeaseMs = leaderLeaseMs;
    }

    /** How long it leaves the field to others after the leader's key is gone. */
    @Override
    public long getAsLong() {
        if (routes.by() != null) {
            return leaderLeaseMs;
        }
        return hearsWorkers(links.workersAgeMs()) || peers.live().stream().noneMatch(this::hearsWorkers)
                ? 0
                : leaderLeaseMs / 8;
    }

    private boolean hearsWorkers(long ageMs) {
        return ageMs >= 0 && ageMs <= 2 * reportMs;
    }

    private boolean hearsWorkers(String peer) {
        return hearsWorkers(peers.linkAgeMs(peer, LinkKind.WORKERS, null));
    }
}

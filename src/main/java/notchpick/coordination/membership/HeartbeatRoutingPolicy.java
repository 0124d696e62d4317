package notchpick.coordination.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import notchpick.coordination.Deployment;
import notchpick.protocol.WorkerProtocol.Heartbeat;

/**
 * Decides how a controller that does not lead handles a worker's heartbeat. A worker that can be expected to reach the
 * leader is redirected to it. A worker that comes back after a redirect could not reach the leader: its heartbeats are
 * relayed, and it is redirected again with increasing backoff. Callers pass the current time.
 */
final class HeartbeatRoutingPolicy {
    /** How a heartbeat is handled. */
    sealed interface Decision {}

    /** Redirects the worker to the leader. */
    record RedirectToLeader() implements Decision {}

    /** Redirects the worker to a relay, or again to a leader that may not accept relayed heartbeats. */
    record RedirectToPeer(String peer) implements Decision {}

    /** Names no controller in the redirect, so that the worker tries the next one of its list. */
    record TryNextController() implements Decision {}

    /** Relays the heartbeat from this controller to the leader. */
    record RelayToLeader(WorkerRoute route) implements Decision {}

    /** The maximum backoff between redirects to the leader while heartbeats are relayed, in worker leases. */
    private static final int MAX_REDIRECT_BACKOFF_LEASES = 2;
    /** A worker's route is removed after this many maximum redirect backoffs without a heartbeat. */
    private static final int ROUTE_EXPIRY_BACKOFFS = 2;
    /** A worker counts as relayed by this controller for this many heartbeat periods after a relayed reply. */
    private static final int RELAYED_PERIODS = 2;
    /** The maximum number of probes of a path per worker lease. */
    private static final int PROBES_PER_LEASE = 2;

    private final String node;
    private final PeerRegistry peers;
    private final LinkMonitor links;
    private final RelaySelector relays;
    private final ProbeLimiter leaderProbesByZone;
    private final long heartbeatPeriodMs;
    private final long workerLeaseMs;
    private final long maxRedirectBackoffMs;
    private final Map<String, WorkerRoute> routes = new HashMap<>();

    HeartbeatRoutingPolicy(Deployment deployment, PeerRegistry peers, LinkMonitor links) {
        this.node = deployment.node();
        this.peers = peers;
        this.links = links;
        this.heartbeatPeriodMs = deployment.heartbeatPeriodMs();
        this.workerLeaseMs = deployment.workerLeaseMs();
        this.maxRedirectBackoffMs = MAX_REDIRECT_BACKOFF_LEASES * workerLeaseMs;
        long probeIntervalMs = workerLeaseMs / PROBES_PER_LEASE;
        this.relays = new RelaySelector(node, peers, heartbeatPeriodMs, probeIntervalMs);
        this.leaderProbesByZone = new ProbeLimiter(probeIntervalMs);
    }

    /** Removes the routes of workers that have not sent a heartbeat here for a long time. */
    void removeStaleRoutes(long nowMs) {
        long expiryMs = ROUTE_EXPIRY_BACKOFFS * maxRedirectBackoffMs;
        routes.values().removeIf(route -> !route.hasHeartbeatWithin(expiryMs, nowMs));
    }

    /**
     * Decides how to handle the heartbeat, and updates the route of its worker.
     *
     * @param leader the leader of the term, which is not this controller
     * @param isRelayBusy whether this controller relays so many heartbeats that it should find more relays
     */
    Decision decide(Heartbeat heartbeat, String leader, long term, boolean isRelayBusy, long nowMs) {
        WorkerRoute route = route(heartbeat.machine(), term);
        boolean isRelayed = route.isRelayedWithin(RELAYED_PERIODS * heartbeatPeriodMs, nowMs);
        if (isRelayed && route.isNextInSequence(heartbeat.sequence())) {
            links.recordWorkerReply(heartbeat.zone());
        }
        route.recordHeartbeat(heartbeat.sequence(), nowMs);
        if (shouldRedirectToLeader(heartbeat, leader, route, isRelayed, nowMs)) {
            route.recordRedirectToLeader(nowMs);
            return new RedirectToLeader();
        }
        if (!isRelayed && (!route.hasEverBeenRelayed() || isBackFromLeader(route, nowMs))) {
            route.recordFailedRedirect(heartbeatPeriodMs, maxRedirectBackoffMs, nowMs);
        }
        return relay(heartbeat, leader, route, isRelayBusy, nowMs);
    }

    private WorkerRoute route(String machine, long term) {
        WorkerRoute route = routes.get(machine);
        if (route == null || route.term() != term) {
            route = new WorkerRoute(term);
            routes.put(machine, route);
        }
        return route;
    }

    private boolean isBackFromLeader(WorkerRoute route, long nowMs) {
        return route.isRedirectedToLeaderWithin(workerLeaseMs, nowMs);
    }

    private boolean shouldRedirectToLeader(
            Heartbeat heartbeat, String leader, WorkerRoute route, boolean isRelayed, long nowMs) {
        if (isRelayed) {
            return route.isRedirectBackoffOver(nowMs)
                    && (relays.isReachedByWorkers(leader, heartbeat.zone())
                            || leaderProbesByZone.tryAcquire(heartbeat.zone(), nowMs));
        }
        // A worker with the fencing token of this term got it from the leader, and comes here because that path failed.
        return heartbeat.fencingToken() < route.term() && !isBackFromLeader(route, nowMs);
    }

    private Decision relay(Heartbeat heartbeat, String leader, WorkerRoute route, boolean isRelayBusy, long nowMs) {
        Optional<String> relay = selectRelay(heartbeat, leader, route, isRelayBusy, nowMs);
        if (relay.isEmpty()) {
            route.recordRedirectElsewhere(nowMs);
            return mayBeUnableToRelay(leader) ? new RedirectToPeer(leader) : new TryNextController();
        }
        // A worker that comes back from its relay is relayed here, as it would otherwise be redirected back and forth.
        if (relay.get().equals(node) || route.isRedirectedElsewhereWithin(workerLeaseMs, nowMs)) {
            return new RelayToLeader(route);
        }
        route.recordRedirectElsewhere(nowMs);
        return new RedirectToPeer(relay.get());
    }

    private Optional<String> selectRelay(
            Heartbeat heartbeat, String leader, WorkerRoute route, boolean isRelayBusy, long nowMs) {
        List<String> candidates = relays.candidates(leader, heartbeat.zone());
        if (isRelayBusy && !candidates.isEmpty() && !route.isRedirectedElsewhereWithin(workerLeaseMs, nowMs)) {
            Optional<String> probed = relays.relayToProbe(heartbeat.machine(), leader, candidates, nowMs);
            if (probed.isPresent()) {
                return probed;
            }
        }
        return relays.relayFor(heartbeat.machine(), candidates);
    }

    /**
     * Whether the leader is live but has sent no link table, as in versions that accept no relayed heartbeats. A worker
     * can only try to reach such a leader directly.
     */
    private boolean mayBeUnableToRelay(String leader) {
        return !peers.hasLinkTable(leader) && peers.livePeers().contains(leader);
    }
}

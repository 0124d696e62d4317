package notchpick.coordination.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import notchpick.coordination.Deployment;
import notchpick.protocol.WorkerProtocol.Heartbeat;

/**
 * Decides what a controller that does not lead does with a worker's heartbeat. A worker that can be expected to reach
 * the leader is redirected to it. One that has been there and is back has not got through: its heartbeats are relayed,
 * and from time to time it is redirected again. Times are handed in.
 */
final class HeartbeatRoutingPolicy {
    /** What is to be done with a heartbeat. */
    sealed interface Decision {}

    /** The worker is redirected to the leader. */
    record RedirectToLeader() implements Decision {}

    /** The worker is redirected to another controller that may help. */
    record RedirectToPeer(String peer) implements Decision {}

    /** No controller is known that could help: the worker goes on to the next one. */
    record TryNextController() implements Decision {}

    /** The heartbeat is relayed to the leader from here. */
    record RelayToLeader(WorkerRoute route) implements Decision {}

    /** A worker whose heartbeats are relayed is redirected to the leader again after so many worker leases at the most. */
    private static final int MAX_REDIRECT_BACKOFF_LEASES = 2;
    /** A worker's route is forgotten after so many times the longest redirect backoff without a heartbeat. */
    private static final int ROUTE_EXPIRY_BACKOFFS = 2;
    /** A worker is relayed here if its heartbeat was within so many heartbeat periods. */
    private static final int RELAYED_PERIODS = 2;
    /** Paths that may have failed are probed so many times in a worker lease. */
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

    /** Forgets routes of workers that have long not been here. */
    void removeStaleRoutes(long nowMs) {
        long expiryMs = ROUTE_EXPIRY_BACKOFFS * maxRedirectBackoffMs;
        routes.values().removeIf(route -> !route.hasHeartbeatWithin(expiryMs, nowMs));
    }

    /**
     * Decides what is to be done with the heartbeat.
     *
     * @param leader another controller, which leads the term
     * @param isRelayBusy whether this controller relays so many heartbeats that it is worth looking for more relays
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
        // A worker that has this term's fencing token got it from the leader, and comes here because that path failed.
        return heartbeat.fencingToken() < route.term() && !isBackFromLeader(route, nowMs);
    }

    private Decision relay(Heartbeat heartbeat, String leader, WorkerRoute route, boolean isRelayBusy, long nowMs) {
        Optional<String> relay = selectRelay(heartbeat, leader, route, isRelayBusy, nowMs);
        if (relay.isEmpty()) {
            route.recordRedirectElsewhere(nowMs);
            return mayBeUnableToRelay(leader) ? new RedirectToPeer(leader) : new TryNextController();
        }
        // A worker that was sent to its relay and is back is relayed here, lest it be sent to and fro.
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

    /** A live leader of a version that accepts no relayed heartbeats: a worker can only try it again. */
    private boolean mayBeUnableToRelay(String leader) {
        return !peers.hasLinkTable(leader) && peers.livePeers().contains(leader);
    }
}

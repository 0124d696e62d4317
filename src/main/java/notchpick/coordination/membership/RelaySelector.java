package notchpick.coordination.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import notchpick.protocol.peer.LinkKind;

/**
 * Selects the controller that relays a worker's heartbeats to the leader. Machines are partitioned among the possible
 * relays by the hash of their name, so that all controllers select the same relay and the relays share the load.
 */
final class RelaySelector {
    /** Workers reach a controller if one of them received a reply from it within this many heartbeat periods. */
    private static final int WORKER_LINK_PERIODS = 2;

    private final String node;
    private final PeerRegistry peers;
    private final long workerLinkMs;
    private final ProbeLimiter peerProbes;

    /** @param probeIntervalMs the minimum interval between probes of a peer that no workers have reached yet */
    RelaySelector(String node, PeerRegistry peers, long heartbeatPeriodMs, long probeIntervalMs) {
        this.node = node;
        this.peers = peers;
        this.workerLinkMs = WORKER_LINK_PERIODS * heartbeatPeriodMs;
        this.peerProbes = new ProbeLimiter(probeIntervalMs);
    }

    /**
     * The controllers that can relay heartbeats from the zone, sorted by name: the peers that reach the leader and are
     * reached by workers of the zone, and this controller if it can reach the leader.
     */
    List<String> candidates(String leader, String zone) {
        List<String> candidates = new ArrayList<>();
        if (peers.canRelay(leader)) {
            candidates.add(node);
        }
        for (String peer : peers.livePeers()) {
            if (reachesLeader(peer, leader) && isReachedByWorkers(peer, zone)) {
                candidates.add(peer);
            }
        }
        Collections.sort(candidates);
        return candidates;
    }

    /** The candidate that relays the machine's heartbeats; empty if there are no candidates. */
    Optional<String> relayFor(String machine, List<String> candidates) {
        return candidates.isEmpty() ? Optional.empty() : Optional.of(owner(machine, candidates));
    }

    private static String owner(String machine, List<String> sortedNodes) {
        return sortedNodes.get(Math.floorMod(machine.hashCode(), sortedNodes.size()));
    }

    /**
     * A peer that reaches the leader and would be the machine's relay, but is not a candidate because no worker has
     * reached it recently. Redirecting the machine's worker to the peer probes that link; if it works, the peer becomes
     * a candidate.
     */
    Optional<String> relayToProbe(String machine, String leader, List<String> candidates, long nowMs) {
        for (String peer : peers.livePeers()) {
            if (!candidates.contains(peer)
                    && wouldOwn(peer, machine, candidates)
                    && reachesLeader(peer, leader)
                    && peerProbes.tryAcquire(peer, nowMs)) {
                return Optional.of(peer);
            }
        }
        return Optional.empty();
    }

    private static boolean wouldOwn(String peer, String machine, List<String> candidates) {
        List<String> extended = new ArrayList<>(candidates);
        extended.add(peer);
        Collections.sort(extended);
        return peer.equals(owner(machine, extended));
    }

    private boolean reachesLeader(String peer, String leader) {
        return !peer.equals(leader) && peers.linkAgeMs(peer, LinkKind.PEER, leader) >= 0;
    }

    /** Whether workers of the zone have recently received replies from the peer, according to its link table. */
    boolean isReachedByWorkers(String peer, String zone) {
        long ageMs = peers.linkAgeMs(peer, LinkKind.WORKERS, zone);
        return ageMs >= 0 && ageMs <= workerLinkMs;
    }
}

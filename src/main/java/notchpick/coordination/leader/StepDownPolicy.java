package notchpick.coordination.leader;

import java.util.Optional;
import notchpick.coordination.leader.term.LeaderAuthority;
import notchpick.coordination.leader.term.TermContext;
import notchpick.coordination.membership.FailoverStateStoreTransport;
import notchpick.coordination.membership.LinkMonitor;
import notchpick.coordination.membership.PeerRegistry;
import notchpick.model.Machine;
import notchpick.protocol.WorkerProtocol.Heartbeat;

/**
 * Decides when the leader steps down because it is badly connected, so that another controller may lead. Only this
 * decision may rely on estimates of the health of links and peers. Releasing a task, a machine or a term must rely on
 * facts, not on estimates.
 */
final class StepDownPolicy {
    /**
     * A leader steps down if its last read of cancellations is older than this fraction of the cancellation timeout.
     */
    private static final double MAX_CANCELLATION_READ_AGE_RATIO = 0.25;
    /** A leader steps down if workers bypass it for longer than this fraction of the worker lease. */
    private static final double MAX_BYPASSED_LEASE_RATIO = 0.3;
    /**
     * A leader that has needed relays for longer than this many worker leases steps down in favor of one that needs
     * none.
     */
    private static final int MAX_RELAYED_LEASES = 2;

    private final TermContext context;
    private final LeaderAuthority authority;
    private final PeerRegistry peers;
    private final LinkMonitor links;
    private final FailoverStateStoreTransport stateStoreTransport;
    private final double maxBypassedMs;
    private final double maxRelayedMs;
    private long lastHeartbeatAtMs;
    private long bypassedSinceMs;
    /** Since when heartbeats have come only through other controllers; 0 if some worker receives direct replies. */
    private long relayedOnlySinceMs;

    StepDownPolicy(
            TermContext context,
            LeaderAuthority authority,
            PeerRegistry peers,
            LinkMonitor links,
            FailoverStateStoreTransport stateStoreTransport) {
        this.context = context;
        this.authority = authority;
        this.peers = peers;
        this.links = links;
        this.stateStoreTransport = stateStoreTransport;
        long workerLeaseMs = context.deployment().workerLeaseMs();
        this.maxBypassedMs = workerLeaseMs * MAX_BYPASSED_LEASE_RATIO;
        this.maxRelayedMs = (double) MAX_RELAYED_LEASES * workerLeaseMs;
        this.lastHeartbeatAtMs = context.nowMs();
        this.bypassedSinceMs = context.nowMs();
    }

    /** The allowed age of the last complete read of users' cancellations, in milliseconds. */
    long maxCancellationReadAgeMs() {
        return (long) (context.deployment().cancelTimeoutMs() * MAX_CANCELLATION_READ_AGE_RATIO);
    }

    /**
     * Records a heartbeat. Two consecutive direct heartbeats of a worker show that it received the reply to the first;
     * a single one does not show that replies reach it.
     *
     * @param relayed whether it came through another controller
     */
    void recordHeartbeat(Heartbeat heartbeat, boolean relayed) {
        lastHeartbeatAtMs = context.nowMs();
        if (relayed && relayedOnlySinceMs == 0) {
            relayedOnlySinceMs = context.nowMs();
        }
        Machine machine = context.cluster().machine(heartbeat.machine());
        if (machine == null) {
            return;
        }
        if (!relayed && machine.isReportingDirectly() && heartbeat.sequence() == machine.sequence() + 1) {
            relayedOnlySinceMs = 0;
            machine.health().recordReceivedReply();
            links.recordWorkerReply(heartbeat.zone());
        }
        machine.setReportingDirectly(!relayed);
    }

    /** The reason to step down before the former leader's state has been read; empty if there is none. */
    Optional<String> reasonBeforeRecovery() {
        // If the lease can't be renewed either, the state store has an outage and no other controller could read the
        // state.
        return !authority.hasRecovered() && authority.leaseHeldMs() > context.heartbeatPeriodMs()
                ? Optional.of("the former leader's state can't be read")
                : Optional.empty();
    }

    /**
     * The reason to step down; empty if there is none.
     *
     * @param runningSinceMs the end of the last pause of this process; messages missing from before it are ignored
     */
    Optional<String> reason(long runningSinceMs) {
        long nowMs = context.nowMs();
        if (nowMs - Math.max(authority.lastCompleteReadSentAtMs(), runningSinceMs) > maxCancellationReadAgeMs()
                && !isStalenessTolerated()) {
            return Optional.of("cancellations can't be read");
        }
        if (isBypassed(nowMs, runningSinceMs)) {
            return Optional.of("workers do not reach the leader, but may reach other controllers");
        }
        if (relayedOnlySinceMs != 0 && nowMs - Math.max(relayedOnlySinceMs, runningSinceMs) > maxRelayedMs) {
            return Optional.of("workers reach the leader only through other controllers");
        }
        if (stateStoreTransport.relayedForMs() > maxRelayedMs) {
            return Optional.of("the leader reaches the state store only through other controllers");
        }
        return Optional.empty();
    }

    /**
     * Whether workers have bypassed the leader for some time. A short time does not count, because a single worker that
     * has just started may be looking for the leader.
     */
    private boolean isBypassed(long nowMs, long runningSinceMs) {
        boolean hasRecentHeartbeat = nowMs - Math.max(lastHeartbeatAtMs, runningSinceMs) < maxBypassedMs;
        if (hasRecentHeartbeat || !isLikelyCutOff()) {
            bypassedSinceMs = nowMs;
            return false;
        }
        return nowMs - bypassedSinceMs > maxBypassedMs;
    }

    /**
     * Whether this controller is probably cut off: either workers reach other controllers, or no peer is live although
     * some machine is ready. In the second case, a fault here is more likely than a failure of all the others.
     */
    private boolean isLikelyCutOff() {
        return peers.redirects() > 0
                || (!context.deployment().peers().isEmpty()
                        && peers.livePeers().isEmpty()
                        && context.cluster().machines().stream()
                                .anyMatch(machine -> machine.state() == Machine.State.READY));
    }

    /**
     * Whether a stale read of cancellations is tolerated because the state store has an outage. No controller can then
     * read cancellations or be elected, so stepping down would only end the grace period in which heartbeats are
     * replied to. After the outage, this leader has one heartbeat period to read cancellations before it steps down.
     */
    private boolean isStalenessTolerated() {
        long heldMs = authority.leaseHeldMs();
        return heldMs < 0 ? authority.isInGracePeriod() : heldMs < context.heartbeatPeriodMs();
    }
}

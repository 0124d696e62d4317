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
 * rests on opinions of links and peers; what frees a task, a machine or a term rests on facts.
 */
final class StepDownPolicy {
    /** A leader that has not read users' cancellations for this part of the cancellation timeout steps down. */
    private static final double MAX_UNREAD_CANCEL_RATIO = 0.25;
    /** A leader that workers bypass for this part of their lease steps down. */
    private static final double MAX_BYPASSED_LEASE_RATIO = 0.3;
    /** A leader that needs relays for so many worker leases steps down in favour of one that does not. */
    private static final int MAX_RELAYED_LEASES = 2;

    private final TermContext context;
    private final LeaderAuthority authority;
    private final PeerRegistry peers;
    private final LinkMonitor links;
    private final FailoverStateStoreTransport stateStoreTransport;
    private final double maxBypassedMs;
    private final double maxRelayedMs;
    private long lastHeartbeatAt;
    private long bypassedSince;
    /** Since when heartbeats have come through other controllers only; 0: some worker gets its replies from here. */
    private long relayedOnlySince;

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
        this.lastHeartbeatAt = context.nowMs();
        this.bypassedSince = context.nowMs();
    }

    /** How long users' cancellations may be unread, in milliseconds. */
    long maxUnreadMs() {
        return (long) (context.deployment().cancelTimeoutMs() * MAX_UNREAD_CANCEL_RATIO);
    }

    /**
     * A heartbeat has come. A worker that reports here twice in a row has received the first reply; one that reports
     * for the first time may do so in vain.
     *
     * @param relayed whether it has come through another controller
     */
    void heartbeatReceived(Heartbeat heartbeat, boolean relayed) {
        lastHeartbeatAt = context.nowMs();
        if (relayed && relayedOnlySince == 0) {
            relayedOnlySince = context.nowMs();
        }
        Machine machine = context.cluster().machine(heartbeat.machine());
        if (machine == null) {
            return;
        }
        if (!relayed && machine.isReportingDirectly() && heartbeat.sequence() == machine.sequence() + 1) {
            relayedOnlySince = 0;
            machine.health().recordReceivedReply();
            links.recordWorkerReply(heartbeat.zone());
        }
        machine.setReportingDirectly(!relayed);
    }

    /** Why a leader that has not yet read what a former leader left must step down, if it must. */
    Optional<String> reasonBeforeRecovery() {
        // In an outage nobody else could read it either.
        return !authority.hasRecovered() && authority.leaseHeldMs() > context.heartbeatPeriodMs()
                ? Optional.of("the former leader's state can't be read")
                : Optional.empty();
    }

    /**
     * Why the leader must step down, if it must.
     *
     * @param awakeSince silence from before then says nothing
     */
    Optional<String> reason(long awakeSince) {
        long now = context.nowMs();
        if (now - Math.max(authority.lastCompleteReadSentAtMs(), awakeSince) > maxUnreadMs() && !isExcused()) {
            return Optional.of("cancellations can't be read");
        }
        if (isBypassed(now, awakeSince)) {
            return Optional.of("workers do not reach it, but do reach others");
        }
        if (relayedOnlySince != 0 && now - Math.max(relayedOnlySince, awakeSince) > maxRelayedMs) {
            return Optional.of("workers reach it only through others");
        }
        if (stateStoreTransport.relayedForMs() > maxRelayedMs) {
            return Optional.of("it reaches the state store only through others");
        }
        return Optional.empty();
    }

    /** One worker that has just come up, and asks its way to the leader, is no sign of a partition. */
    private boolean isBypassed(long now, long awakeSince) {
        boolean hasLatelyHeard = now - Math.max(lastHeartbeatAt, awakeSince) < maxBypassedMs;
        if (hasLatelyHeard || !othersMayBeBetterConnected()) {
            bypassedSince = now;
            return false;
        }
        return now - bypassedSince > maxBypassedMs;
    }

    /**
     * Whether others are known to be reached by workers, or nothing is known of any other controller while workers
     * should report: then it is more likely that this controller is cut off than that all of them are gone.
     */
    private boolean othersMayBeBetterConnected() {
        return peers.redirects() > 0
                || (!context.deployment().peers().isEmpty()
                        && peers.livePeers().isEmpty()
                        && context.cluster().machines().stream()
                                .anyMatch(machine -> machine.state() == Machine.State.READY));
    }

    /**
     * In an outage nobody can read cancellations, nor be elected: to step down would only end the grace period in which
     * heartbeats are replied to. When the outage is over, the cancellations come within a heartbeat period, or another
     * controller shall read them.
     */
    private boolean isExcused() {
        long heldMs = authority.leaseHeldMs();
        return heldMs < 0 ? authority.isInGracePeriod() : heldMs < context.heartbeatPeriodMs();
    }
}

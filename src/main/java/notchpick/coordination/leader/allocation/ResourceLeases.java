package notchpick.coordination.leader.allocation;

import java.util.HashMap;
import java.util.Map;
import notchpick.coordination.Deployment;
import notchpick.coordination.Tuning;
import notchpick.coordination.leader.term.LaunchGuard;
import notchpick.coordination.leader.term.TermContext;
import notchpick.coordination.membership.PeerClient;
import notchpick.coordination.membership.PeerRegistry;
import notchpick.model.ClusterState;
import notchpick.model.Job;
import notchpick.model.Machine;
import notchpick.model.TaskAssignment;
import notchpick.protocol.peer.Grant;
import notchpick.protocol.peer.Placed;
import notchpick.protocol.peer.Placements;
import notchpick.scheduling.Resources;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Leases granted resources to the controllers that place tasks, and applies the placements that they return. A
 * placement is accepted only from the holder of a lease that has not expired, and only for tasks and resources that the
 * lease covers.
 */
public final class ResourceLeases {
    /** Is notified of the outcome of leased resources. */
    public interface Listener {
        /** A task has been placed. */
        void taskPlaced(TaskAssignment assignment);

        /** Leased resources are free again, or the team of an ended lease can take part in allocation again. */
        void resourcesReturned();
    }

    private static final Logger LOG = LoggerFactory.getLogger(ResourceLeases.class);
    /** Lease numbers hold the term above this many bits, so that they increase across terms. */
    private static final int LEASE_BITS = 24;

    private final TermContext context;
    private final Deployment deployment;
    private final ClusterState cluster;
    private final PeerClient peerClient;
    private final LaunchGuard launchGuard;
    private final Listener listener;
    private final long leaseMs;
    private final LeaseHolderSelector holderSelector;
    private final GrantEncoder encoder;
    private final Map<Long, ResourceLease> leases = new HashMap<>();
    private long lastNumber;

    public ResourceLeases(
            TermContext context,
            Tuning tuning,
            PeerRegistry peers,
            PeerClient peerClient,
            LaunchGuard launchGuard,
            Listener listener) {
        this.context = context;
        this.deployment = context.deployment();
        this.cluster = context.cluster();
        this.peerClient = peerClient;
        this.launchGuard = launchGuard;
        this.listener = listener;
        this.leaseMs = tuning.resourceLeaseMs();
        this.holderSelector = new LeaseHolderSelector(context, peers::livePeers);
        this.encoder = new GrantEncoder(context, leaseMs);
        this.lastNumber = context.term() << LEASE_BITS;
    }

    /** Creates an empty lease, which is not held until {@link #grant}. */
    ResourceLease newLease(String team) {
        return new ResourceLease(++lastNumber, team, holderSelector.holder(team));
    }

    boolean hasLeaseFor(String team) {
        return leases.values().stream().anyMatch(lease -> lease.team().equals(team));
    }

    /** Whether any lease is held. */
    public boolean isAnyHeld() {
        return !leases.isEmpty();
    }

    /** Grants the lease to its holder; does nothing if the lease is empty. */
    void grant(ResourceLease lease) {
        if (lease.isEmpty()) {
            return;
        }
        leases.put(lease.number(), lease);
        Grant grant = encoder.encode(lease);
        context.timer().schedule(leaseMs, () -> expire(lease));
        if (lease.holder().equals(deployment.node())) {
            applyPlacements(TaskPlacer.place(grant, lease.holder()));
            return;
        }
        peerClient.send(lease.holder(), grant, leaseMs, reply -> {
            if (reply instanceof Placements placements) {
                context.timer().schedule(0, () -> applyPlacements(placements));
            }
        });
    }

    /**
     * Ends the lease if its holder has not answered in time. For a while, other controllers then place the tasks of the
     * holder's teams.
     */
    private void expire(ResourceLease lease) {
        if (leases.containsKey(lease.number())) {
            LOG.info(
                    "resource lease expired: lease={} team={} holder={}", lease.number(), lease.team(), lease.holder());
            holderSelector.excludeTemporarily(lease.holder());
            end(lease);
            listener.resourcesReturned();
        }
    }

    private void end(ResourceLease lease) {
        leases.remove(lease.number());
        lease.returnAll();
    }

    /** Applies the placements that the lease covers; refuses all of them if their sender does not hold the lease. */
    void applyPlacements(Placements placements) {
        ResourceLease lease = leases.get(placements.getLease());
        if (lease == null
                || placements.getTerm() != context.term()
                || !lease.holder().equals(placements.getNode())) {
            LOG.info(
                    "placements refused: lease={} holder={} term={} reason=\"lease not held\"",
                    placements.getLease(),
                    placements.getNode(),
                    placements.getTerm());
            return;
        }
        end(lease);
        int accepted = accept(lease, placements);
        int refused = placements.getPlaced().size() - accepted;
        if (refused > 0) {
            LOG.info("placements refused: lease={} count={} accepted={}", lease.number(), refused, accepted);
        }
        // If another controller held the lease, the team took no part in rounds meanwhile. If some tasks were not
        // placed, their resources are free again.
        if (!lease.holder().equals(deployment.node()) || accepted < lease.taskCount()) {
            listener.resourcesReturned();
        }
    }

    private int accept(ResourceLease lease, Placements placements) {
        Map<Machine, Resources> remaining = new HashMap<>(lease.resources());
        long nowMs = context.nowMs();
        int accepted = 0;
        for (Placed placed : placements.getPlaced()) {
            Job job = cluster.job(placed.getJob());
            Machine machine = cluster.machine(placed.getMachine());
            int task = placed.getTask();
            if (job == null
                    || machine == null
                    || !lease.covers(job, task)
                    || !remaining.containsKey(machine)
                    || !job.isTaskPending(task)
                    || !job.spec().demand().fitsIn(remaining.get(machine))
                    || !isAdmissible(job, machine, nowMs)) {
                continue;
            }
            remaining.merge(machine, job.spec().demand(), Resources::minus);
            listener.taskPlaced(
                    cluster.assign(job.spec(), task, machine, lease.number(), TaskAssignment.Phase.PLANNED));
            accepted++;
        }
        return accepted;
    }

    /**
     * Whether the task may be placed on the machine now. Checks the current state, as it may have changed since the
     * lease was granted.
     */
    private boolean isAdmissible(Job job, Machine machine, long nowMs) {
        return machine.isSchedulable(nowMs, context.heartbeatPeriodMs())
                && job.spec().demand().fitsIn(machine.freeResources())
                && launchGuard.refusalOfPlacement(job, machine).isEmpty();
    }
}

package notchpick.model;

import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import notchpick.scheduling.CandidateNode;
import notchpick.scheduling.NodePool;
import notchpick.scheduling.Resources;

/** A machine as the leader knows it: its lifecycle, its worker's heartbeats, and the resources taken on it. */
public final class Machine implements CandidateNode {
    /** The lifecycle of a machine, in order. */
    public enum State {
        /** Rented; its worker has not reported yet. */
        PROVISIONING,
        /** Its worker reports. */
        READY,
        /** To be released once nothing runs on it; it gets no new tasks. */
        DRAINING,
        /** Its release may have been requested: never to be used again. */
        RELEASED
    }

    private final String name;
    private final NodePool pool;
    private final Resources size;
    private final Map<String, TaskAssignment> assignments = new LinkedHashMap<>();
    private final Collection<TaskAssignment> assignmentsView = Collections.unmodifiableCollection(assignments.values());
    private final Set<String> images = new HashSet<>();
    private final Set<String> imagesView = Collections.unmodifiableSet(images);
    private final MachineHealth health = new MachineHealth();

    private State state = State.PROVISIONING;
    private boolean releaseDurable;
    private long provisionedAtMs;
    private long idleSinceMs;

    private long incarnation;
    private long sequence = -1;
    private long lastHeartbeatAtMs;
    private boolean everReported;
    private boolean reportingDirectly;
    private boolean awaitingReply;
    private boolean reconciled;
    private boolean formerLeaderLaunches;
    private Double reclaimNoticeS;

    private Resources leased = Resources.NONE;
    private Resources held = Resources.NONE;
    private Resources free;

    public Machine(String name, NodePool pool, Resources size, long now) {
        this.name = name;
        this.pool = pool;
        this.size = size;
        this.provisionedAtMs = now;
        this.idleSinceMs = now;
        this.lastHeartbeatAtMs = now;
        this.free = size;
    }

    public String name() {
        return name;
    }

    public NodePool pool() {
        return pool;
    }

    @Override
    public String type() {
        return pool.type();
    }

    @Override
    public String zone() {
        return pool.zone();
    }

    @Override
    public boolean isSpot() {
        return pool.spot();
    }

    // ---- lifecycle -----------------------------------------------------------------------------

    public State state() {
        return state;
    }

    /** Whether its worker has reported and it has not been released. */
    public boolean isInService() {
        return state == State.READY || state == State.DRAINING;
    }

    /** The worker has reported for the first time, or a former leader launched tasks there. */
    public void markReady(long now) {
        requireState(State.PROVISIONING);
        state = State.READY;
        idleSinceMs = now;
    }

    /** No new tasks are placed here, and the machine is released once it is idle. */
    public void drain() {
        requireState(State.READY);
        state = State.DRAINING;
    }

    /** The machine is never used again, and its release is to be recorded and requested. */
    public void release() {
        state = State.RELEASED;
    }

    /** The decision to release the machine is durable, so that the release may be requested. */
    public void markReleaseDurable() {
        requireState(State.RELEASED);
        releaseDurable = true;
    }

    private void requireState(State required) {
        if (state != required) {
            throw new IllegalStateException("machine " + name + " is " + state + ", not " + required);
        }
    }

    public boolean isReleaseDurable() {
        return releaseDurable;
    }

    /** When the machine was rented, in milliseconds of the steady clock. */
    public long provisionedAtMs() {
        return provisionedAtMs;
    }

    /** The cloud lists a machine of this age that was not known. */
    public void setProvisionedAtMs(long atMs) {
        provisionedAtMs = atMs;
    }

    /** Since when nothing has been assigned to the machine; meaningful only while it is idle. */
    public long idleSinceMs() {
        return idleSinceMs;
    }

    /** The machine has just become idle. */
    public void markIdle(long now) {
        idleSinceMs = now;
    }

    // ---- heartbeats ----------------------------------------------------------------------------

    /** The worker's incarnation, which rises each time its lease expires. */
    public long incarnation() {
        return incarnation;
    }

    /** The sequence number of the newest heartbeat; -1 if there was none. */
    public long sequence() {
        return sequence;
    }

    /** Whether a heartbeat with these numbers is older than the newest one, or the same. */
    public boolean isStale(long heartbeatIncarnation, long heartbeatSequence) {
        return heartbeatIncarnation < incarnation
                || (heartbeatIncarnation == incarnation && heartbeatSequence <= sequence);
    }

    /** Takes over what identifies the newest heartbeat. */
    public void recordHeartbeat(long newIncarnation, long newSequence, Double newReclaimNoticeS, long now) {
        everReported = true;
        incarnation = newIncarnation;
        sequence = newSequence;
        reclaimNoticeS = newReclaimNoticeS;
        lastHeartbeatAtMs = now;
    }

    /** A reply that may renew the worker's lease goes out, though the heartbeat itself did not count. */
    public void recordPossibleLeaseRenewal(long now) {
        lastHeartbeatAtMs = now;
    }

    /** When the newest heartbeat came; the worker's lease runs out some time after that at the latest. */
    public long lastHeartbeatAtMs() {
        return lastHeartbeatAtMs;
    }

    /** Whether a heartbeat was accepted during this term. */
    public boolean hasReported() {
        return everReported;
    }

    /** Whether the last heartbeat came from the worker itself, not through another controller. */
    public boolean isReportingDirectly() {
        return reportingDirectly;
    }

    public void setReportingDirectly(boolean direct) {
        reportingDirectly = direct;
    }

    /** Whether a heartbeat is waiting for its reply, so that commands can go out at once. */
    public boolean isAwaitingReply() {
        return awaitingReply;
    }

    public void setAwaitingReply(boolean waiting) {
        awaitingReply = waiting;
    }

    /** Whether all that is on the machine has been reported, and no command of a former leader can reach it any more. */
    public boolean isReconciled() {
        return reconciled;
    }

    public void setReconciled(boolean value) {
        reconciled = value;
    }

    /** Whether a former leader may have sent commands to the machine. */
    public boolean hasFormerLeaderLaunches() {
        return formerLeaderLaunches;
    }

    /** A launch record of a former leader names the machine. */
    public void markFormerLeaderLaunches() {
        formerLeaderLaunches = true;
    }

    /** The seconds until the cloud reclaims the machine; null if it has given no notice. */
    public Double reclaimNoticeS() {
        return reclaimNoticeS;
    }

    /** What is known of how well tasks run on the machine, and commands reach it. */
    public MachineHealth health() {
        return health;
    }

    /** Whether tasks may be launched on the machine. */
    public boolean isSchedulable(long now, long heartbeatPeriodMs) {
        return state == State.READY
                && reconciled
                && reclaimNoticeS == null
                && health.permitsLaunches(now)
                // A machine that has missed heartbeats may be gone; what is launched there would only wait.
                && now - lastHeartbeatAtMs < 2 * heartbeatPeriodMs;
    }

    // ---- assignments and resources -------------------------------------------------------------

    public Resources size() {
        return size;
    }

    @Override
    public Resources freeResources() {
        return free;
    }

    @Override
    public Set<String> images() {
        return imagesView;
    }

    /** The image is on the machine, or will be fetched by a task that is assigned to it. */
    public void addImage(String image) {
        images.add(image);
    }

    public Collection<TaskAssignment> assignments() {
        return assignmentsView;
    }

    /** The assignments as they are now, to be iterated over while they change. */
    public List<TaskAssignment> copyOfAssignments() {
        return List.copyOf(assignments.values());
    }

    /** The assignment of a task, or null. */
    public TaskAssignment assignment(String taskName) {
        return assignments.get(taskName);
    }

    /** Whether this very assignment still stands. */
    public boolean hasAssignment(TaskAssignment assignment) {
        return assignments.get(assignment.taskName()) == assignment;
    }

    /** Takes the resources that the task needs. */
    void add(TaskAssignment assignment) {
        assignments.put(assignment.taskName(), assignment);
        held = held.plus(assignment.spec().demand());
        free = free.minus(assignment.spec().demand());
    }

    /** Gives back the resources that the task held; false if the assignment does not stand any more. */
    boolean remove(TaskAssignment assignment) {
        if (!assignments.remove(assignment.taskName(), assignment)) {
            return false;
        }
        // Sums of decimals drift; with nothing left they start afresh.
        held = assignments.isEmpty()
                ? Resources.NONE
                : held.minus(assignment.spec().demand());
        free = size.minus(leased).minus(held);
        return true;
    }

    /** Whether some of its resources are leased to a controller that places tasks. */
    public boolean hasLeasedResources() {
        return leased.cores() > Resources.EPSILON;
    }

    /** Leases resources to a controller that places tasks. */
    public void lease(Resources resources) {
        leased = leased.plus(resources);
        free = free.minus(resources);
    }

    /** Leased resources come back. */
    public void returnLeased(Resources resources) {
        leased = leased.minus(resources);
        if (leased.cores() < Resources.EPSILON && leased.ram() < Resources.EPSILON) {
            leased = Resources.NONE;
        }
        free = size.minus(leased).minus(held);
    }

    public boolean isIdle() {
        return assignments.isEmpty() && !hasLeasedResources();
    }
}

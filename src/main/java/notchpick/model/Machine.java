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

/** The leader's view of a machine: its lifecycle, its worker's heartbeats, and the resources in use on it. */
public final class Machine implements CandidateNode {
    /** The lifecycle of a machine, in order. */
    public enum State {
        /** Rented; its worker has not reported yet. */
        PROVISIONING,
        /** Its worker has reported, or a former leader launched tasks on it. */
        READY,
        /** Gets no new tasks, and is released once nothing runs on it. */
        DRAINING,
        /** Its release may have been requested, so it is never used again. */
        RELEASED
    }

    private final String name;
    private NodePool pool;
    private Resources size;
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
    private Resources heldByServices = Resources.NONE;
    private Resources free;

    public Machine(String name, NodePool pool, Resources size, long nowMs) {
        this.name = name;
        this.pool = pool;
        this.size = size;
        this.provisionedAtMs = nowMs;
        this.idleSinceMs = nowMs;
        this.lastHeartbeatAtMs = nowMs;
        this.free = size;
    }

    public String name() {
        return name;
    }

    public NodePool pool() {
        return pool;
    }

    /** Replaces where the machine was thought to be, and its size, by what its worker has reported. */
    public void correctPool(NodePool reported, Resources reportedSize) {
        pool = reported;
        size = reportedSize;
        free = size.minus(leased).minus(held);
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

    public State state() {
        return state;
    }

    /** Whether the machine is ready or draining: no longer being provisioned, and not released. */
    public boolean isInService() {
        return state == State.READY || state == State.DRAINING;
    }

    /** Marks the machine as ready: its worker has reported, or a former leader launched tasks on it. */
    public void markReady(long nowMs) {
        requireState(State.PROVISIONING);
        state = State.READY;
        idleSinceMs = nowMs;
    }

    /** Prevents new tasks on the machine, which is released once it is idle. */
    public void drain() {
        requireState(State.READY);
        state = State.DRAINING;
    }

    /** Marks the machine as released: it is never used again, and its release has to be recorded and requested. */
    public void release() {
        state = State.RELEASED;
    }

    /** Marks the decision to release the machine as durable, so that the release may be requested. */
    public void markReleaseDurable() {
        requireState(State.RELEASED);
        releaseDurable = true;
    }

    private void requireState(State required) {
        if (state != required) {
            throw new IllegalStateException("machine " + name + " is in state " + state + ", expected " + required);
        }
    }

    public boolean isReleaseDurable() {
        return releaseDurable;
    }

    /** When the machine was rented, in milliseconds of the steady clock. */
    public long provisionedAtMs() {
        return provisionedAtMs;
    }

    /** Sets when the machine was rented, if it was first seen in the cloud's list. */
    public void setProvisionedAtMs(long atMs) {
        provisionedAtMs = atMs;
    }

    /** Since when nothing has been assigned to the machine; meaningful only while it is idle. */
    public long idleSinceMs() {
        return idleSinceMs;
    }

    /** Records that the machine has just become idle. */
    public void markIdle(long nowMs) {
        idleSinceMs = nowMs;
    }

    /** The worker's incarnation, which it increments each time its lease expires. */
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

    /** Records an accepted heartbeat as the newest one. */
    public void recordHeartbeat(long newIncarnation, long newSequence, Double newReclaimNoticeS, long nowMs) {
        everReported = true;
        incarnation = newIncarnation;
        sequence = newSequence;
        reclaimNoticeS = newReclaimNoticeS;
        lastHeartbeatAtMs = nowMs;
    }

    /** Records that a reply may renew the worker's lease, although its heartbeat was not accepted. */
    public void recordPossibleLeaseRenewal(long nowMs) {
        lastHeartbeatAtMs = nowMs;
    }

    /** When a heartbeat whose reply may renew the worker's lease last arrived, in milliseconds of the steady clock. */
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

    /** Whether all tasks on the machine have been reported, and no command of a former leader can reach it any more. */
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

    /** Records that a launch record of a former leader names the machine. */
    public void markFormerLeaderLaunches() {
        formerLeaderLaunches = true;
    }

    /** The seconds until the cloud reclaims the machine; null if it has given no notice. */
    public Double reclaimNoticeS() {
        return reclaimNoticeS;
    }

    /** How well tasks run on the machine, and whether commands reach it. */
    public MachineHealth health() {
        return health;
    }

    /** Whether tasks may be launched on the machine. */
    public boolean isSchedulable(long nowMs, long heartbeatPeriodMs) {
        return state == State.READY
                && reconciled
                && reclaimNoticeS == null
                && health.isLaunchPermitted(nowMs)
                // A machine that has missed a heartbeat may be gone; a task launched there would only wait.
                && nowMs - lastHeartbeatAtMs < 2 * heartbeatPeriodMs;
    }

    public Resources size() {
        return size;
    }

    /** The resources that are free once all job arrays on the machine have ended; services never end by themselves. */
    public Resources resourcesWithoutServices() {
        return size.minus(heldByServices);
    }

    @Override
    public Resources freeResources() {
        return free;
    }

    @Override
    public Set<String> images() {
        return imagesView;
    }

    /** Records that the image is on the machine, or will be fetched for a task that is assigned to it. */
    public void addImage(String image) {
        images.add(image);
    }

    public Collection<TaskAssignment> assignments() {
        return assignmentsView;
    }

    /** A copy of the assignments, to be iterated over while they change. */
    public List<TaskAssignment> copyOfAssignments() {
        return List.copyOf(assignments.values());
    }

    /** The assignment of the task to this machine, or null. */
    public TaskAssignment assignment(String taskName) {
        return assignments.get(taskName);
    }

    /** Whether this assignment is current: it has neither ended nor been replaced by another of the same task. */
    public boolean hasAssignment(TaskAssignment assignment) {
        return assignments.get(assignment.taskName()) == assignment;
    }

    /** Adds an assignment, and takes the resources that its task needs. */
    void add(TaskAssignment assignment) {
        assignments.put(assignment.taskName(), assignment);
        held = held.plus(assignment.spec().demand());
        if (assignment.spec().isService()) {
            heldByServices = heldByServices.plus(assignment.spec().demand());
        }
        free = free.minus(assignment.spec().demand());
    }

    /** Removes an assignment, and frees the resources that its task held; false if it is not current. */
    boolean remove(TaskAssignment assignment) {
        if (!assignments.remove(assignment.taskName(), assignment)) {
            return false;
        }
        held = held.minus(assignment.spec().demand());
        if (assignment.spec().isService()) {
            heldByServices = heldByServices.minus(assignment.spec().demand());
        }
        if (assignments.isEmpty()) {
            // Rounding errors add up in the sums.
            held = Resources.NONE;
            heldByServices = Resources.NONE;
        }
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

    /** Returns leased resources. */
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

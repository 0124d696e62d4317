package notchpick.simulation;

import java.util.ArrayList;
import java.util.List;

/** What is wrong with a worker's machine. */
final class WorkerFaults {
    /** What would have happened on the machine while it hung, in order. */
    private final List<Runnable> deferred = new ArrayList<>();

    private boolean terminated;
    private boolean hanging;
    private boolean inboundLost;
    private boolean outboundLost;
    private boolean faulty;

    boolean isTerminated() {
        return terminated;
    }

    void setTerminated() {
        terminated = true;
    }

    boolean isHanging() {
        return hanging;
    }

    void startHanging() {
        hanging = true;
    }

    /** The machine goes on; what it should have done meanwhile happens now. */
    void stopHanging() {
        hanging = false;
        List<Runnable> deferredWork = List.copyOf(deferred);
        deferred.clear();
        deferredWork.forEach(Runnable::run);
    }

    /** Runs the work when the machine goes on after a hang. */
    void defer(Runnable work) {
        deferred.add(work);
    }

    /** Whether its heartbeats arrive and what is sent to it is lost. */
    boolean isInboundLost() {
        return inboundLost;
    }

    void setInboundLost(boolean active) {
        inboundLost = active;
    }

    /** Whether its heartbeats are lost. */
    boolean isOutboundLost() {
        return outboundLost;
    }

    void setOutboundLost(boolean active) {
        outboundLost = active;
    }

    /** Whether every task on it fails soon after its start. */
    boolean isFaulty() {
        return faulty;
    }

    void setFaulty() {
        faulty = true;
    }

    /** Whether the machine can take part in the work like any other. */
    boolean isHealthy() {
        return !terminated && !hanging && !inboundLost && !outboundLost && !faulty;
    }
}

package notchpick.simulation;

import java.util.ArrayList;
import java.util.List;

/** The faults that are currently injected into a worker and its machine. */
final class WorkerFaults {
    /** Work that fell due while the machine hung, in order. */
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

    /** Resumes the machine and runs the deferred work now. */
    void stopHanging() {
        hanging = false;
        List<Runnable> deferredWork = List.copyOf(deferred);
        deferred.clear();
        deferredWork.forEach(Runnable::run);
    }

    /** Runs the work when the machine resumes after a hang. */
    void defer(Runnable work) {
        deferred.add(work);
    }

    /** Whether messages to the worker are lost, while its heartbeats arrive. */
    boolean isInboundLost() {
        return inboundLost;
    }

    void setInboundLost(boolean active) {
        inboundLost = active;
    }

    /** Whether the worker's heartbeats are lost. */
    boolean isOutboundLost() {
        return outboundLost;
    }

    void setOutboundLost(boolean active) {
        outboundLost = active;
    }

    /** Whether every task on the machine fails soon after its start. */
    boolean isFaulty() {
        return faulty;
    }

    void setFaulty() {
        faulty = true;
    }

    /** Whether no fault is active. */
    boolean isHealthy() {
        return !terminated && !hanging && !inboundLost && !outboundLost && !faulty;
    }
}

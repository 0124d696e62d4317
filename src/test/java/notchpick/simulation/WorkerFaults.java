package notchpick.simulation;

import java.util.ArrayList;
import java.util.List;

/** What is wrong with a worker's machine. */
final class WorkerFaults {
    /** What would have happened on the machine while it hung, in order. */
    private final List<Runnable> deferred = new ArrayList<>();

    private boolean dead;
    private boolean hanging;
    private boolean deaf;
    private boolean mute;
    private boolean sick;

    boolean isDead() {
        return dead;
    }

    void setDead() {
        dead = true;
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
        List<Runnable> due = List.copyOf(deferred);
        deferred.clear();
        due.forEach(Runnable::run);
    }

    /** Runs the work when the machine goes on after a hang. */
    void defer(Runnable work) {
        deferred.add(work);
    }

    /** Whether its heartbeats arrive and what is sent to it is lost. */
    boolean isInboundLost() {
        return deaf;
    }

    void setInboundLost(boolean active) {
        deaf = active;
    }

    /** Whether its heartbeats are lost. */
    boolean isOutboundLost() {
        return mute;
    }

    void setOutboundLost(boolean active) {
        mute = active;
    }

    /** Whether every task on it fails soon after its start. */
    boolean isFaulty() {
        return sick;
    }

    void setFaulty() {
        sick = true;
    }

    /** Whether the machine can take part in the work like any other. */
    boolean isHealthy() {
        return !dead && !hanging && !deaf && !mute && !sick;
    }
}

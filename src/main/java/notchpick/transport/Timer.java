package notchpick.transport;

/** Runs work later, on the event loop of the actor that schedules it. */
@FunctionalInterface
public interface Timer {
    /** Runs work after a delay. With a delay of 0, it runs after the current work and all work already queued. */
    void schedule(long delayMs, Runnable work);
}

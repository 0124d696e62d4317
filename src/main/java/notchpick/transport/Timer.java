package notchpick.transport;

/** Runs work later, on the event loop of the actor that it belongs to. */
@FunctionalInterface
public interface Timer {
    /** Runs work after a delay. With a delay of 0 it runs once what is running now, and all that is queued, has run. */
    void schedule(long delayMs, Runnable work);
}

package notchpick.transport;

/**
 * Runs the work of a process's actors, one piece at a time, and reads its clocks. The implementation owns the queue of
 * waiting work and the timers; tests have one in simulated time.
 */
public interface EventLoop extends Timer {
    /** The steady clock, in milliseconds; only differences are meaningful, within one process. */
    long nowMs();

    /** The time of day, in milliseconds since the epoch; it may be off, and be set back. */
    long wallTimeMs();

    /** Runs work once all that was queued before has run; may be called from any thread. */
    void execute(Runnable work);
}

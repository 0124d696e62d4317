package notchpick.transport;

/**
 * Runs the work of all actors of a process, one piece at a time, and provides the clocks. The implementation owns the
 * queue of waiting work and the timers; tests use an implementation with simulated time.
 */
public interface EventLoop extends Timer {
    /** The monotonic clock, in milliseconds; only differences within one process are meaningful. */
    long nowMs();

    /** The wall-clock time, in milliseconds since the epoch; it may be wrong, and may be set back. */
    long wallTimeMs();

    /** Runs work after all work that was queued before; may be called from any thread. */
    void execute(Runnable work);
}

package notchpick.transport;

/** Time and execution as seen by the actors of one process; simulated in tests. */
public interface EventLoop {
    /** Steady time in milliseconds; only differences mean anything. */
    long nowMs();

    /** Time of day in milliseconds since the epoch; off by as much as the settings' bound. */
    long wallTimeMs();

    void execute(Runnable work);

    void after(long delayMs, Runnable work);
}

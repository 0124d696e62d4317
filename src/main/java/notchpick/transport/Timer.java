package notchpick.transport;

/** Runs work later, in the turn of the actor that it belongs to. */
@FunctionalInterface
public interface Timer {
    /**
     * Schedules work; a delay of 0 still lets the current message be handled first.
     *
     * @param delayMs the delay in milliseconds
     */
    void after(long delayMs, Runnable work);
}

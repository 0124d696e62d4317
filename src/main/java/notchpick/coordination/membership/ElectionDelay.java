package notchpick.coordination.membership;

/** How long a controller leaves an election to others. */
@FunctionalInterface
public interface ElectionDelay {
    /** The time in milliseconds for which leadership must have been vacant before this controller campaigns. */
    long delayMs();
}

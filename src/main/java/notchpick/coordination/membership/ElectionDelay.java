package notchpick.coordination.membership;

/** Determines how long a controller waits before it campaigns, so that others can be elected first. */
@FunctionalInterface
public interface ElectionDelay {
    /** How long the leader key must have been missing before this controller campaigns, in milliseconds. */
    long delayMs();
}

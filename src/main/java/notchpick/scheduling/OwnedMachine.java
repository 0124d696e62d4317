package notchpick.scheduling;

/** A machine that is ready or being provisioned. */
public record OwnedMachine(String name, NodePool pool, Resources size, boolean isIdle) {}

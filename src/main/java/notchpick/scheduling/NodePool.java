package notchpick.scheduling;

/** Machines of one type in one zone, all spot instances or all on demand: the unit in which the fleet is scaled. */
public record NodePool(String type, String zone, boolean spot) {}

package notchpick.scheduling;

/** Machines of one type in one zone, all spot instances or all on demand: the unit in which the fleet is scaled. */
public record NodePool(String type, String zone, boolean spot) {
    /** The pool of a machine of which only the name is known. */
    public static final NodePool UNKNOWN = new NodePool("", "", false);

    /** Whether this is {@link #UNKNOWN}. */
    public boolean isUnknown() {
        return equals(UNKNOWN);
    }
}

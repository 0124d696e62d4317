package notchpick.scheduling;

import java.util.Set;

/** A machine, or resources leased on one, as far as the choice of a node for a task depends on it. */
public interface CandidateNode {
    /** The name of its machine type. */
    String type();

    String zone();

    boolean isSpot();

    /** What tasks may still be given. */
    Resources freeResources();

    /** The container images in its cache, which tasks need not fetch. */
    Set<String> images();
}

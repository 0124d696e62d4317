package notchpick.scheduling;

import java.util.Set;

/** The properties of a machine, or of resources leased on one, that decide whether a task is placed there. */
public interface CandidateNode {
    /** The name of its machine type. */
    String type();

    String zone();

    boolean isSpot();

    /** The resources that can still be assigned to tasks. */
    Resources freeResources();

    /** The container images in its cache; tasks that use them need not fetch them. */
    Set<String> images();
}

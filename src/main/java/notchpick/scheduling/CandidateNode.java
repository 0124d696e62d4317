package notchpick.scheduling;

import java.util.Set;

/** A machine, or leased room on one, as far as a choice needs it. */
public interface CandidateNode {
    String type();

    String zone();

    boolean isSpot();

    Resources freeResources();

    Set<String> images();
}

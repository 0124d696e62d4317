package notchpick.scheduling;

import java.util.Set;

/** A machine, or leased room on one, as far as a choice needs it. */
public interface Place {
    String type();

    String zone();

    boolean spot();

    Amounts room();

    Set<String> images();
}

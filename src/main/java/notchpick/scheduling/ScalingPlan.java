package notchpick.scheduling;

import java.util.Map;
import java.util.Set;

/**
 * How the fleet should change.
 *
 * @param scaleOut how many machines to rent in each pool, in the order in which they were found wanting
 * @param unneeded the names of idle machines that no demand was packed on
 */
public record ScalingPlan(Map<NodePool, Integer> scaleOut, Set<String> unneeded) {}

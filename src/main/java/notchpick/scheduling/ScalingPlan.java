package notchpick.scheduling;

import java.util.Map;
import java.util.Set;

/**
 * How the fleet should change.
 *
 * @param scaleOut the number of machines to rent in each pool, in the order in which the pools were chosen
 * @param unneeded the names of the idle machines that no demand was packed onto
 */
public record ScalingPlan(Map<NodePool, Integer> scaleOut, Set<String> unneeded) {}

package notchpick.coordination.leader.allocation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import notchpick.coordination.Deployment;
import notchpick.coordination.leader.term.TermContext;

/** Selects the controller that places a team's tasks: teams are partitioned among the live controllers. */
final class LeaseHolderSelector {
    /** For how many heartbeat periods a controller gets no new lease after it has let one expire. */
    private static final int EXCLUSION_PERIODS = 2;

    private final TermContext context;
    private final Supplier<List<String>> livePeers;
    private final Map<String, Long> excludedUntilMs = new HashMap<>();

    LeaseHolderSelector(TermContext context, Supplier<List<String>> livePeers) {
        this.context = context;
        this.livePeers = livePeers;
    }

    /**
     * Returns the controller that places the team's tasks. Teams are assigned round robin in the order of their names;
     * the leader gets the first.
     */
    String holder(String team) {
        Deployment deployment = context.deployment();
        List<String> controllers = new ArrayList<>();
        controllers.add(deployment.node());
        for (String controller : livePeers.get()) {
            if (excludedUntilMs.getOrDefault(controller, 0L) <= context.nowMs()) {
                controllers.add(controller);
            }
        }
        List<String> teams = deployment.quotas().stream()
                .map(Deployment.Quota::team)
                .sorted()
                .toList();
        return controllers.get(Math.floorMod(teams.indexOf(team), controllers.size()));
    }

    /** Temporarily excludes a controller that has let a lease expire. The leader itself is never excluded. */
    void excludeTemporarily(String holder) {
        excludedUntilMs.put(holder, context.nowMs() + EXCLUSION_PERIODS * context.heartbeatPeriodMs());
    }
}

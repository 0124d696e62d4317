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
    /** A controller that let a lease expire holds none for so many heartbeat periods. */
    private static final int DISTRUST_PERIODS = 2;

    private final TermContext context;
    private final Supplier<List<String>> livePeers;
    private final Map<String, Long> distrustedUntil = new HashMap<>();

    LeaseHolderSelector(TermContext context, Supplier<List<String>> livePeers) {
        this.context = context;
        this.livePeers = livePeers;
    }

    /** The controller that places the team's tasks; the first teams go to the leader. */
    String holder(String team) {
        Deployment deployment = context.deployment();
        List<String> nodes = new ArrayList<>();
        nodes.add(deployment.node());
        for (String node : livePeers.get()) {
            if (distrustedUntil.getOrDefault(node, 0L) <= context.nowMs()) {
                nodes.add(node);
            }
        }
        List<String> teams = deployment.quotas().stream()
                .map(Deployment.Quota::team)
                .sorted()
                .toList();
        return nodes.get(Math.floorMod(teams.indexOf(team), nodes.size()));
    }

    /** The controller has let a lease expire. */
    void leaseExpired(String holder) {
        distrustedUntil.put(holder, context.nowMs() + DISTRUST_PERIODS * context.heartbeatPeriodMs());
    }
}

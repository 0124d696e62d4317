package notchpick.coordination.leader.allocation;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.ClusterState;
import notchpick.scheduling.Milliseconds;
import notchpick.scheduling.Resources;
import notchpick.scheduling.StatefulDrf;

/** Tracks the commitment of each team: its past overuse of each resource, which decays exponentially. */
final class CommitmentTracker {

    private final TermContext context;
    private final ClusterState cluster;
    private final double decayS;
    private final Map<String, Resources> commitments = new HashMap<>();
    private final Map<String, Resources> overuse = new HashMap<>();
    private long updatedAtMs;

    /** @param decayS the time constant of the decay, in seconds */
    CommitmentTracker(TermContext context, double decayS) {
        this.context = context;
        this.cluster = context.cluster();
        this.decayS = decayS;
        this.updatedAtMs = context.nowMs();
    }

    Map<String, Resources> all() {
        return Collections.unmodifiableMap(commitments);
    }

    Resources of(String team) {
        return commitments.getOrDefault(team, Resources.NONE);
    }

    /** Loads the commitments that a former leader saved. */
    void load(Map<String, Resources> saved) {
        commitments.putAll(saved);
    }

    /**
     * Applies equation 12 of the paper to the time since the last update, during which the shares were constant.
     *
     * @param activeTeams the teams that have open jobs which are not blocked by dependencies
     */
    void update(Set<String> activeTeams, Resources capacity) {
        long nowMs = context.nowMs();
        double elapsedS = (nowMs - updatedAtMs) / Milliseconds.PER_SECOND;
        updatedAtMs = nowMs;
        Set<String> teams = new HashSet<>(commitments.keySet());
        teams.addAll(activeTeams);
        for (String team : teams) {
            Resources teamOveruse = overuse.getOrDefault(team, Resources.NONE);
            commitments.put(team, StatefulDrf.commitment(of(team), teamOveruse, elapsedS, decayS));
            Resources share = StatefulDrf.share(cluster.usage(team), capacity);
            overuse.put(team, StatefulDrf.overuse(share, activeTeams.size()));
        }
    }
}

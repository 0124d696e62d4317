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

/** Keeps the commitment of each team: its overuse of each resource, which decays over time. */
final class CommitmentTracker {

    private final TermContext context;
    private final ClusterState cluster;
    private final double decayS;
    private final Map<String, Resources> commitments = new HashMap<>();
    private final Map<String, Resources> overuse = new HashMap<>();
    private long updatedAt;

    /** @param decayS the time constant of the decay, in seconds */
    CommitmentTracker(TermContext context, double decayS) {
        this.context = context;
        this.cluster = context.cluster();
        this.decayS = decayS;
        this.updatedAt = context.nowMs();
    }

    Map<String, Resources> all() {
        return Collections.unmodifiableMap(commitments);
    }

    Resources of(String team) {
        return commitments.getOrDefault(team, Resources.NONE);
    }

    /** Takes in what a former leader saved. */
    void load(Map<String, Resources> saved) {
        commitments.putAll(saved);
    }

    /**
     * Applies equation 12 of the paper over the time since the last update, in which the shares did not change.
     *
     * @param activeTeams the teams that have open jobs
     */
    void update(Set<String> activeTeams, Resources capacity) {
        long now = context.nowMs();
        double elapsedS = (now - updatedAt) / Milliseconds.PER_SECOND;
        updatedAt = now;
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

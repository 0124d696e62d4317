package notchpick.coordination.leader.allocation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import notchpick.coordination.Deployment.Quota;
import notchpick.coordination.leader.term.OnDemandPolicy;
import notchpick.model.Job;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.OnDemandAccess;
import notchpick.scheduling.Resources;

/** The state of one team in an allocation round: its waiting jobs and what it has been granted. */
final class TeamAllocation {
    private final String team;
    private final Quota quota;
    private final List<Job> jobs;
    private final ResourceLease lease;
    private final Map<Job, EquivalenceClass> classes = new HashMap<>();
    /** Classes for which no machine was found. They stay unplaceable, as no resources become free during a round. */
    private final Set<EquivalenceClass> unplaceable = new HashSet<>();
    /** Jobs for which no machine was found. */
    private final List<Job> skipped = new ArrayList<>();

    private Resources held;

    /**
     * @param quota the team's quota, or null if it has none
     * @param jobs the waiting jobs, in the order in which they are served; modified by the round
     * @param held the resources that the team holds before the round
     */
    TeamAllocation(
            String team, Quota quota, List<Job> jobs, ResourceLease lease, Resources held, OnDemandPolicy onDemand) {
        this.team = team;
        this.quota = quota;
        this.jobs = jobs;
        this.lease = lease;
        this.held = held;
        // Equal classes share one instance, so that they can be compared by identity.
        Map<EquivalenceClass, EquivalenceClass> distinct = new HashMap<>();
        for (Job job : jobs) {
            EquivalenceClass.of(job, onDemand.accessOf(job) != OnDemandAccess.NONE)
                    .ifPresent(found -> classes.put(job, distinct.computeIfAbsent(found, same -> same)));
        }
    }

    String team() {
        return team;
    }

    Quota quota() {
        return quota;
    }

    /**
     * The jobs that are still waiting, in the order in which they are served. The round removes jobs from this list.
     */
    List<Job> jobs() {
        return jobs;
    }

    ResourceLease lease() {
        return lease;
    }

    /** The equivalence class of the job; null if a machine has to be selected for this job alone. */
    EquivalenceClass classOf(Job job) {
        return classes.get(job);
    }

    boolean isUnplaceable(EquivalenceClass equivalenceClass) {
        return unplaceable.contains(equivalenceClass);
    }

    /** Records that no machine was found for the job. The other jobs of its class then count as unplaceable too. */
    void markSkipped(Job job) {
        EquivalenceClass equivalenceClass = classOf(job);
        if (equivalenceClass != null) {
            unplaceable.add(equivalenceClass);
        }
        skipped.add(job);
    }

    List<Job> skipped() {
        return skipped;
    }

    Resources held() {
        return held;
    }

    /** Adds the resources granted for a task to those that the team holds. */
    void addGranted(Resources demand) {
        held = held.plus(demand);
    }

    /** Whether the team's quota allows it one more task of the job. */
    boolean isWithinQuota(JobSpec spec) {
        return quota == null || quota.allows(held.plus(spec.demand()));
    }

    /** Whether one more task of the job is within the team's guarantee. */
    boolean isWithinGuarantee(JobSpec spec) {
        return quota != null && quota.isWithinGuarantee(held.plus(spec.demand()));
    }
}

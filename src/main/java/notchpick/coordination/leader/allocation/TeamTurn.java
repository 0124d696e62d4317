package notchpick.coordination.leader.allocation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import notchpick.coordination.Deployment.Quota;
import notchpick.model.Job;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.Resources;

/** One team's part in an allocation round: its waiting jobs, and what it has been granted. */
final class TeamTurn {
    private final String team;
    private final Quota quota;
    private final List<Job> jobs;
    private final ResourceLease lease;
    private final Map<Job, EquivalenceClass> classes = new HashMap<>();
    /** Classes that found no machine; no resources become free during a round. */
    private final Set<EquivalenceClass> unplaceable = new HashSet<>();
    /** Jobs that found no machine. */
    private final List<Job> skipped = new ArrayList<>();

    private Resources held;

    /**
     * @param quota of the team, or null if it has none
     * @param jobs those that wait, in the order in which they are served
     * @param held what the team holds before the round
     */
    TeamTurn(String team, Quota quota, List<Job> jobs, ResourceLease lease, Resources held) {
        this.team = team;
        this.quota = quota;
        this.jobs = jobs;
        this.lease = lease;
        this.held = held;
        // Equal classes share one instance, so that they can be compared by identity.
        Map<EquivalenceClass, EquivalenceClass> distinct = new HashMap<>();
        for (Job job : jobs) {
            EquivalenceClass.of(job)
                    .ifPresent(found -> classes.put(job, distinct.computeIfAbsent(found, same -> same)));
        }
    }

    String team() {
        return team;
    }

    Quota quota() {
        return quota;
    }

    /** The jobs that still wait, in the order in which they are served. */
    List<Job> jobs() {
        return jobs;
    }

    ResourceLease lease() {
        return lease;
    }

    /** The equivalence class of the job; null if it is in a class of its own. */
    EquivalenceClass classOf(Job job) {
        return classes.get(job);
    }

    boolean isUnplaceable(EquivalenceClass equivalenceClass) {
        return unplaceable.contains(equivalenceClass);
    }

    /** The job has found no machine. */
    void skip(Job job) {
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

    /** Resources for a task have been granted. */
    void granted(Resources demand) {
        held = held.plus(demand);
    }

    /** Whether the job's next task fits into what the team may hold at the most. */
    boolean isWithinQuota(JobSpec spec) {
        return quota == null || quota.allows(held.plus(spec.demand()));
    }

    /** Whether the job's next task fits into what the team may always have. */
    boolean isWithinGuarantee(JobSpec spec) {
        return quota != null && quota.isWithinGuarantee(held.plus(spec.demand()));
    }
}

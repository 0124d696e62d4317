package notchpick.coordination.leader.allocation;

import java.util.List;
import java.util.Optional;
import notchpick.model.Job;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.Resources;

/** What placement depends on: jobs of the same class find the same machine. */
record EquivalenceClass(
        Resources demand,
        List<String> types,
        String zone,
        boolean spot,
        boolean onDemand,
        boolean urgent,
        String image) {
    /** The class of the job; empty where placement also depends on its other tasks, or on machines that failed it. */
    static Optional<EquivalenceClass> of(Job job) {
        JobSpec spec = job.spec();
        if (spec.hasZoneConstraint() || job.hasTaskFailures()) {
            return Optional.empty();
        }
        return Optional.of(new EquivalenceClass(
                spec.demand(),
                spec.types(),
                spec.zone(),
                spec.spot(),
                job.canUseOnDemand(),
                spec.isUrgent(),
                spec.image()));
    }
}

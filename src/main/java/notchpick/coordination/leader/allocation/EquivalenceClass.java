package notchpick.coordination.leader.allocation;

import java.util.List;
import java.util.Optional;
import notchpick.model.Job;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.Resources;

/** The properties of a job that the selection of a machine depends on: one selection serves all jobs of a class. */
record EquivalenceClass(
        Resources demand,
        List<String> types,
        String zone,
        boolean spot,
        boolean onDemand,
        boolean urgent,
        String image) {
    /**
     * The class of the job; empty if placement also depends on where its other tasks are or on which machines it
     * failed.
     *
     * @param onDemand whether the job may use on-demand machines that are up
     */
    static Optional<EquivalenceClass> of(Job job, boolean onDemand) {
        JobSpec spec = job.spec();
        if (spec.hasZoneConstraint() || job.hasTaskFailures()) {
            return Optional.empty();
        }
        return Optional.of(new EquivalenceClass(
                spec.demand(), spec.types(), spec.zone(), spec.spot(), onDemand, spec.isUrgent(), spec.image()));
    }
}

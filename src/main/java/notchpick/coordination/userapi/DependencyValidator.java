package notchpick.coordination.userapi;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import notchpick.coordination.JobOutcomes;
import notchpick.model.JobRecord;
import notchpick.model.JobStatus;
import notchpick.scheduling.JobSpec;

/**
 * Checks that the job of a submission can become ready: each of its dependencies must have been accepted, by any
 * controller, and must not be a service, which never completes.
 */
final class DependencyValidator {
    private final OpenJobCache openJobs;
    private final JobOutcomes outcomes;

    DependencyValidator(OpenJobCache openJobs, JobOutcomes outcomes) {
        this.openJobs = openJobs;
        this.outcomes = outcomes;
    }

    /**
     * Checks the dependencies of a job. Reads the open jobs before the outcomes: a dependency that is not open either
     * has a durable outcome by then, or does not exist.
     */
    void check(JobSpec spec, Consumer<DependencyVerdict> then) {
        int count = spec.dependencies().size();
        if (count == 0) {
            then.accept(new DependencyVerdict.Valid(false));
            return;
        }
        List<OpenJobCache.Lookup> lookups = new ArrayList<>();
        List<String> notOpen = new ArrayList<>();
        for (String dependency : spec.dependencies()) {
            openJobs.read(dependency, lookup -> {
                lookups.add(lookup);
                if (lookup instanceof OpenJobCache.NotOpen) {
                    notOpen.add(dependency);
                }
                if (lookups.size() == count) {
                    readOutcomes(lookups, notOpen, then);
                }
            });
        }
    }

    private void readOutcomes(
            List<OpenJobCache.Lookup> lookups, List<String> notOpen, Consumer<DependencyVerdict> then) {
        if (lookups.stream().anyMatch(OpenJobCache.Unavailable.class::isInstance)) {
            then.accept(new DependencyVerdict.Unavailable());
            return;
        }
        outcomes.read(
                notOpen,
                found -> then.accept(found.map(ended -> verdict(lookups, notOpen, ended))
                        .orElse(new DependencyVerdict.Unavailable())));
    }

    private static DependencyVerdict verdict(
            List<OpenJobCache.Lookup> lookups, List<String> notOpen, Map<String, JobRecord> ended) {
        for (String dependency : notOpen) {
            if (!ended.containsKey(dependency)) {
                return new DependencyVerdict.Rejected("the job depends on " + dependency + ", which does not exist");
            }
        }
        List<JobRecord> records = new ArrayList<>(ended.values());
        boolean cancelled = false;
        for (OpenJobCache.Lookup lookup : lookups) {
            if (lookup instanceof OpenJobCache.Open open) {
                cancelled |= open.cancelledByDependency();
                records.add(open.record());
            }
        }
        for (JobRecord record : records) {
            if (record.service()) {
                return new DependencyVerdict.Rejected("the job depends on a service, which never completes");
            }
            cancelled |= record.status() == JobStatus.CANCELLED;
        }
        return new DependencyVerdict.Valid(cancelled);
    }
}

package notchpick.coordination.userapi;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import notchpick.coordination.JobOutcomes;
import notchpick.coordination.userapi.OpenJobCache.Told;
import notchpick.model.JobRecord;
import notchpick.model.JobStatus;
import notchpick.scheduling.JobSpec;

/** Looks at the jobs that a submission names: each must have been accepted, by whatever controller. */
final class DependencyValidator {
    private final OpenJobCache open;
    private final JobOutcomes outcomes;

    /**
     * What the look came to.
     *
     * @param readable whether the state service told
     * @param obstacle why the job can't be accepted, or null
     * @param doomed whether one of the jobs was cancelled, or will be for one that it needs itself
     */
    record Verdict(boolean readable, String obstacle, boolean doomed) {}

    DependencyValidator(OpenJobCache open, JobOutcomes outcomes) {
        this.open = open;
        this.outcomes = outcomes;
    }

    /** Open jobs are looked at first: what is not among them is over, and says so, or there is none. */
    void check(JobSpec spec, Consumer<Verdict> then) {
        if (spec.dependencies().isEmpty()) {
            then.accept(new Verdict(true, null, false));
            return;
        }
        List<Told> answers = new ArrayList<>();
        List<String> ended = new ArrayList<>();
        for (String need : spec.dependencies()) {
            open.ask(need, told -> {
                answers.add(told);
                if (told.known() && told.open() == null) {
                    ended.add(need);
                }
                if (answers.size() == spec.dependencies().size()) {
                    ends(answers, ended, then);
                }
            });
        }
    }

    private void ends(List<Told> answers, List<String> ended, Consumer<Verdict> then) {
        if (answers.stream().anyMatch(told -> !told.known())) {
            then.accept(new Verdict(false, null, false));
            return;
        }
        outcomes.read(
                ended,
                found -> then.accept(found == null ? new Verdict(false, null, false) : verdict(answers, ended, found)));
    }

    private static Verdict verdict(List<Told> answers, List<String> ended, Map<String, JobRecord> found) {
        List<JobRecord> records = new ArrayList<>(found.values());
        boolean doomed = false;
        for (Told told : answers) {
            doomed |= told.doomed();
            if (told.open() != null) {
                records.add(told.open().record());
            }
        }
        for (String need : ended) {
            if (!found.containsKey(need)) {
                return new Verdict(true, "nobody submitted " + need + ", which it waits on", false);
            }
        }
        for (JobRecord record : records) {
            if (record.service()) {
                return new Verdict(true, "it waits on a service, which is never done", false);
            }
            doomed |= record.status() == JobStatus.CANCELLED;
        }
        return new Verdict(true, null, doomed);
    }
}

package notchpick.simulation;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import notchpick.protocol.InvalidMessageException;
import notchpick.protocol.UserProtocol;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.Resources;

/** The actual run times and outcomes of submitted jobs, which the controllers have no access to. */
final class JobGroundTruth implements SimulatedWorker.JobBehavior {
    /**
     * A submitted job.
     *
     * @param body the submission as the user sent it
     * @param runTimeVariation the largest deviation of a task's run time from {@code runMs}, as a fraction of it
     * @param fails whether every task of the job ends with an error
     */
    record SubmittedJob(JobSpec spec, ObjectNode body, long runMs, double runTimeVariation, boolean fails) {}

    private final Map<String, SubmittedJob> jobs = new LinkedHashMap<>();

    /** Parses a submission and stores how its tasks will behave. */
    SubmittedJob add(ObjectNode body, double runS, double runTimeVariation, boolean fails)
            throws InvalidMessageException {
        JobSpec spec = UserProtocol.submission(body, 0);
        SubmittedJob job = new SubmittedJob(spec, body, (long) (runS * 1000), runTimeVariation, fails);
        jobs.put(spec.id(), job);
        return job;
    }

    boolean contains(String job) {
        return jobs.containsKey(job);
    }

    /** The submitted job with this id, which must exist. */
    SubmittedJob job(String id) {
        return jobs.get(id);
    }

    /** All submitted jobs, in the order of their submission. */
    Collection<SubmittedJob> jobs() {
        return jobs.values();
    }

    /** The specification of the job that a task belongs to. */
    JobSpec specOfTask(String task) {
        return jobs.get(InvariantChecker.jobOf(task)).spec();
    }

    @Override
    public Resources demand(String job) {
        return jobs.containsKey(job) ? jobs.get(job).spec().demand() : null;
    }

    @Override
    public long runMs(String task) {
        SubmittedJob job = jobs.get(InvariantChecker.jobOf(task));
        // The deviation is derived from the task's name, so that every attempt of the task has the same run time.
        double deviation = Math.floorMod(task.hashCode() * 31L, 1000) / 500.0 - 1;
        return Math.round(job.runMs() * (1 + job.runTimeVariation() * deviation));
    }

    @Override
    public boolean savesCheckpoints(String job) {
        return jobs.get(job).spec().checkpointIntervalS() > 0;
    }

    @Override
    public boolean fails(String job) {
        return jobs.get(job).fails();
    }
}

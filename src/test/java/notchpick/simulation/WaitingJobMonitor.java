package notchpick.simulation;

import java.util.List;
import java.util.Map;
import notchpick.coordination.Deployment.Quota;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.Resources;
import notchpick.simulation.JobGroundTruth.SubmittedJob;

/** Reports to the invariant checker, every second and for each job, whether a waiting task of the job could start. */
final class WaitingJobMonitor {
    private static final long PERIOD_MS = 1000;

    private final SimulatedTime time;
    private final InvariantChecker invariants;
    private final List<Quota> teams;
    private final JobGroundTruth jobs;
    private final SimulatedFleet fleet;
    private final SimulatedUsers users;

    WaitingJobMonitor(
            SimulatedTime time,
            InvariantChecker invariants,
            List<Quota> teams,
            JobGroundTruth jobs,
            SimulatedFleet fleet,
            SimulatedUsers users) {
        this.time = time;
        this.invariants = invariants;
        this.teams = teams;
        this.jobs = jobs;
        this.fleet = fleet;
        this.users = users;
    }

    /** Starts the reports, which go on until the end of the simulation. */
    void start() {
        jobs.jobs().stream()
                .filter(job -> users.hasAnswerAbout(job.spec().id()))
                .forEach(job -> invariants.recordWaitingJob(job.spec().id(), couldStart(job)));
        time.schedule(PERIOD_MS, this::start);
    }

    private boolean couldStart(SubmittedJob job) {
        Map<String, Integer> tasksByZone = fleet.tasksByZone(job.spec());
        return hasWaitingTask(job, tasksByZone)
                && isUnderTeamLimit(job.spec())
                && fleet.workers().stream().anyMatch(worker -> fits(job.spec(), worker, tasksByZone));
    }

    private boolean hasWaitingTask(SubmittedJob job, Map<String, Integer> tasksByZone) {
        JobSpec spec = job.spec();
        int placed = tasksByZone.values().stream().mapToInt(Integer::intValue).sum();
        return !job.fails()
                && !invariants.isCancelRequested(spec.id())
                && invariants.completedTasks(spec) + placed < spec.tasks()
                && spec.dependencies().stream().allMatch(dependency -> "done".equals(users.lastState(dependency)));
    }

    private boolean isUnderTeamLimit(JobSpec spec) {
        Resources usage = fleet.usageOf(spec.team()).plus(spec.demand());
        return teams.stream().anyMatch(team -> team.team().equals(spec.team()) && team.allows(usage));
    }

    private boolean fits(JobSpec spec, SimulatedWorker worker, Map<String, Integer> tasksByZone) {
        return worker.canStartTasks()
                && spec.allows(worker.type().name(), worker.zone(), worker.spot())
                && spec.allowsZoneAmongTasks(worker.zone(), tasksByZone)
                && spec.demand().fitsIn(fleet.freeResources(worker));
    }
}

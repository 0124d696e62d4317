package notchpick.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import notchpick.scheduling.JobSpec;

/** Checks the protocol's rules against the events on machines and the answers that users get. */
public final class InvariantChecker {
    /** Once all faults are over, a job about which no request is answered for longer than this counts as lost. */
    static final long MAX_UNANSWERED_MS = 75_000;
    /** Tolerance for rounding errors in the sum of a team's cores; a team may not exceed its limit by anything else. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private static final double MS_PER_S = 1000;

    /** Where a task runs. */
    private record RunningTask(String machine, String zone) {}

    private final LongSupplier clock;
    private final Map<String, Double> coreLimits;
    private final Map<String, JobSpec> jobs = new HashMap<>();
    private final Map<String, RunningTask> running = new HashMap<>();
    private final Set<String> completed = new HashSet<>();
    private final CancellationChecker cancellations;
    private final AnswerHistory answers = new AnswerHistory();
    private final ServedJobs servedJobs = new ServedJobs();
    /** When a request about a job was last answered, by job. */
    private final Map<String, Long> lastAnswerAtMs = new HashMap<>();
    /** Since when a job has been waiting although it could start, by job. */
    private final WaitingJobChecker waitingJobs = new WaitingJobChecker();
    /** Ids of submissions that must not be accepted. */
    private final Set<String> invalidJobs = new HashSet<>();

    private final DoneStateChecker doneStates = new DoneStateChecker();
    private final List<String> violations = new ArrayList<>();
    private LongSupplier withheldStarts = () -> 0;
    private int starts;
    private int tasksKilledByLeaseExpiry;
    private long lastStartAtMs;
    private long longestPauseMs;
    private long faultsOverAtMs = Long.MAX_VALUE / 2;

    /**
     * @param clock the current time in milliseconds
     * @param cancelTimeoutMs how long tasks of a job may still run after a user was told that it is cancelled
     * @param coreLimits the most cores a team may hold, by team; a team without an entry has no limit
     */
    public InvariantChecker(LongSupplier clock, long cancelTimeoutMs, Map<String, Double> coreLimits) {
        this.clock = clock;
        this.coreLimits = coreLimits;
        this.cancellations = new CancellationChecker(clock, cancelTimeoutMs);
    }

    /** Sets the source of the number of start commands that controllers have withheld as violations. */
    void setWithheldStarts(LongSupplier source) {
        withheldStarts = source;
    }

    /** The rule violations so far, one line each. */
    public List<String> violations() {
        List<String> all = new ArrayList<>(violations);
        running.keySet().forEach(task -> checkCancelledTaskStopped(task, all));
        if (withheldStarts.getAsLong() > 0) {
            all.add("start_withheld: " + withheldStarts.getAsLong() + " starts, each logged as an error by its leader");
        }
        return all;
    }

    /**
     * The classes, the teams and the groups of a class's largest jobs that were less than half served, and the groups
     * of largest jobs that mostly started too late.
     */
    public List<String> underserved() {
        return servedJobs.underserved();
    }

    /** How many tasks have started. */
    public int starts() {
        return starts;
    }

    /** How many tasks were killed because their worker got no answer for a whole lease. */
    public int tasksKilledByLeaseExpiry() {
        return tasksKilledByLeaseExpiry;
    }

    /** The longest time without a task start on any machine. */
    public long longestPauseMs() {
        return Math.max(longestPauseMs, clock.getAsLong() - lastStartAtMs);
    }

    /** Restarts the measurement of {@link #longestPauseMs}. */
    public void resetLongestPause() {
        lastStartAtMs = clock.getAsLong();
        longestPauseMs = 0;
    }

    /** Task starts after the job's cancellation was confirmed, including those ordered before the confirmation. */
    public long startsAfterCancel() {
        return cancellations.starts();
    }

    /** Start orders that a worker received after the job's cancellation was confirmed. */
    public long startOrdersAfterCancel() {
        return cancellations.startOrders();
    }

    /** The longest time from a confirmation until a worker was ordered to start a task of the job; 0 if none was. */
    public long longestStartOrderAfterCancelMs() {
        return cancellations.longestUntilStartOrderMs();
    }

    /** The longest time from a confirmed cancellation until a task of the job stopped; 0 if none did. */
    public long longestRunAfterCancelMs() {
        return cancellations.longestUntilStoppedMs();
    }

    /** Whether the task has completed on any machine. */
    public boolean isComplete(String task) {
        return completed.contains(task);
    }

    /** How many tasks of the job have completed. */
    public long completedTasks(JobSpec job) {
        return completed.stream().filter(task -> jobOf(task).equals(job.id())).count();
    }

    private void addViolation(String rule, String details) {
        violations.add(formatViolation(rule, details));
    }

    private String formatViolation(String rule, String details) {
        return rule + ": " + details + " at " + clock.getAsLong() / MS_PER_S;
    }

    static String jobOf(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    static boolean isFinal(String state) {
        return "done".equals(state) || "cancelled".equals(state);
    }

    /** Records that a user submits a job. */
    public void recordSubmission(JobSpec job) {
        jobs.put(job.id(), job);
        servedJobs.recordSubmission(job, clock.getAsLong());
    }

    /** Records that a user sends a submission under this id that must be rejected. */
    public void recordInvalidSubmission(String job) {
        invalidJobs.add(job);
        servedJobs.exempt(job);
    }

    /** Records that a user asks to cancel the job. */
    public void recordCancelRequest(String job) {
        cancellations.recordRequest(job);
        servedJobs.exempt(job);
    }

    boolean isCancelRequested(String job) {
        return cancellations.isRequested(job);
    }

    /** Records that this many tasks were killed when their worker's lease expired. */
    public void recordKilledByLeaseExpiry(int tasks) {
        tasksKilledByLeaseExpiry += tasks;
    }

    /**
     * Records that a worker was ordered to start a task.
     *
     * @param maxDelayMs how long after a confirmed cancellation a start order may still arrive
     */
    public void recordStartOrder(String machine, String task, long maxDelayMs) {
        cancellations
                .recordStartOrder(jobOf(task))
                .filter(delayMs -> delayMs > maxDelayMs)
                .ifPresent(delayMs -> addViolation(
                        "started_cancelled",
                        task + " was ordered on " + machine + " " + delayMs / MS_PER_S
                                + " s after its job was reported as cancelled"));
    }

    /** Records that a task has fetched its image and starts to run. */
    public void recordStart(String machine, String task, String type, String zone, boolean spot) {
        starts++;
        longestPauseMs = longestPauseMs();
        lastStartAtMs = clock.getAsLong();
        RunningTask other = running.get(task);
        if (other != null) {
            addViolation("ran_twice", task + " on " + other.machine() + " and " + machine);
        }
        checkCancelledTaskStopped(task, violations);
        String jobId = jobOf(task);
        cancellations.recordStart(jobId);
        servedJobs.recordStart(jobId, clock.getAsLong());
        waitingJobs.recordNotWaiting(jobId);
        running.put(task, new RunningTask(machine, zone));
        JobSpec job = jobs.get(jobId);
        if (job != null) {
            checkDependencies(job, task);
            checkOneZone(job, task, zone);
            if (!job.allows(type, zone, spot) || runningInZone(job, zone) > job.maxTasksPerZone()) {
                addViolation("invalid_placement", task + " on " + type + " in " + zone);
            }
            checkQuota(job.team());
        }
    }

    /** Records that a task no longer runs on the machine; ignored unless it is recorded as running there. */
    public void recordStop(String machine, String task) {
        RunningTask location = running.get(task);
        if (location != null && location.machine().equals(machine)) {
            checkCancelledTaskStopped(task, violations);
            cancellations.recordStop(jobOf(task));
            running.remove(task);
        }
    }

    /** Records that a task has completed. */
    public void recordCompletion(String task) {
        completed.add(task);
        doneStates.recordCompletion(jobOf(task), task, clock.getAsLong());
    }

    private void checkCancelledTaskStopped(String task, List<String> target) {
        if (cancellations.isOverdue(jobOf(task))) {
            target.add(formatViolation("ran_cancelled", task));
        }
    }

    private void checkDependencies(JobSpec job, String task) {
        for (String dependency : job.dependencies()) {
            JobSpec required = jobs.get(dependency);
            if (cancellations.isConfirmed(dependency) || completedTasks(required) < required.tasks()) {
                addViolation("dependency_not_done", task + " before " + dependency + " is done");
            }
        }
    }

    private void checkOneZone(JobSpec job, String task, String zone) {
        if (!job.colocated()) {
            return;
        }
        running.forEach((other, location) -> {
            if (jobOf(other).equals(job.id()) && !location.zone().equals(zone)) {
                addViolation("invalid_placement", task + " is not in the zone of " + other);
            }
        });
    }

    private long runningInZone(JobSpec job, String zone) {
        return running.entrySet().stream()
                .filter(entry -> jobOf(entry.getKey()).equals(job.id()))
                .filter(entry -> entry.getValue().zone().equals(zone))
                .count();
    }

    private void checkQuota(String team) {
        Double limit = coreLimits.get(team);
        double cores = 0;
        for (String task : running.keySet()) {
            JobSpec job = jobs.get(jobOf(task));
            cores += job != null && job.team().equals(team) ? job.demand().cores() : 0;
        }
        if (limit != null && cores > limit + ROUNDING_TOLERANCE) {
            addViolation("quota_exceeded", team + " holds " + cores);
        }
    }

    /** Records that a leader has renewed a worker's lease although it had ended the lease of its own term before. */
    void recordRenewalAfterResignation(String worker, long term) {
        addViolation("renewed_after_resignation", "lease of " + worker + " in term " + term);
    }

    /** Records that no fault is active from now on; only then are waiting and unanswered jobs violations. */
    public void recordFaultsOver() {
        faultsOverAtMs = clock.getAsLong();
        waitingJobs.reset();
    }

    /**
     * Records whether a waiting task of the job could start: some machine that the job allows has room, and its team is
     * under its limit. Must be called regularly, as the wait counts from the first call with {@code couldStart} set.
     */
    public void recordWaitingJob(String job, boolean couldStart) {
        long nowMs = clock.getAsLong();
        if (!couldStart || nowMs < faultsOverAtMs) {
            waitingJobs.recordNotWaiting(job);
        } else {
            waitingJobs
                    .recordWaiting(job, nowMs)
                    .ifPresent(sinceMs -> addViolation("left_waiting", job + " since " + sinceMs / MS_PER_S));
        }
    }

    private void checkIsAnswered(String job) {
        long unansweredSinceMs = Math.max(faultsOverAtMs, lastAnswerAtMs.getOrDefault(job, 0L));
        if (answers.hasAnswerAbout(job) && clock.getAsLong() - unansweredSinceMs > MAX_UNANSWERED_MS) {
            addViolation("job_lost", "no request about " + job + " was answered since " + unansweredSinceMs / MS_PER_S);
            lastAnswerAtMs.put(job, clock.getAsLong());
        }
    }

    /** Records an answer to a request that a user sent about a job at the same moment. */
    public void recordAnswer(String job, int httpStatus, String state) {
        recordAnswer(job, httpStatus, state, clock.getAsLong());
    }

    /**
     * Records the answer that a user got now to a request about a job, which may be a repeated submission.
     *
     * @param requestedAtMs when the request was sent; the answer must not be older than any answer received by then
     */
    public void recordAnswer(String job, int httpStatus, String state, long requestedAtMs) {
        JobSpec spec = jobs.get(job);
        if (httpStatus / 100 == 2 && invalidJobs.contains(job)) {
            addViolation("accepted_invalid", job);
        }
        if (httpStatus == 200 && spec == null) {
            addViolation("unknown_job", job);
        }
        String knownState = answers.latestStateAt(job, requestedAtMs);
        if (knownState != null && (httpStatus == 404 || httpStatus == 400 || httpStatus == 422)) {
            addViolation("job_lost", job + " was answered " + httpStatus);
        }
        if ((httpStatus != 200 && httpStatus != 201) || spec == null) {
            checkIsAnswered(job);
            return;
        }
        lastAnswerAtMs.put(job, clock.getAsLong());
        if (isFinal(knownState) && !knownState.equals(state)) {
            addViolation("invalid_transition", job + " from " + knownState + " to " + state);
        }
        checkState(spec, state);
        if (!isFinal(state) && doneStates.isOverdue(spec, requestedAtMs, faultsOverAtMs)) {
            addViolation("done_not_reported", job + " is " + state);
        }
        servedJobs.recordAnswer(job, state);
        answers.add(job, state, clock.getAsLong());
    }

    private void checkState(JobSpec job, String state) {
        if ("cancelled".equals(state)) {
            if (withDependencies(job.id()).stream().noneMatch(cancellations::isRequested)) {
                addViolation(
                        "invalid_transition",
                        job.id() + " is cancelled, but no user cancelled it or a job that it needs");
            }
            cancellations.recordConfirmation(job.id());
        }
        if ("queued".equals(state) || "running".equals(state)) {
            checkNotOrphaned(job.id(), state);
        }
        if ("done".equals(state) && completedTasks(job) < job.tasks()) {
            addViolation("reported_done_early", job.id());
        }
    }

    private void checkNotOrphaned(String job, String state) {
        for (String dependency : withDependencies(job)) {
            if (cancellations.isOverdue(dependency)) {
                addViolation(
                        "orphaned",
                        job + " is reported as " + state + " too long after " + dependency + " was cancelled");
            }
        }
    }

    /** The job and all its direct and indirect dependencies; those of a job that was not submitted are unknown. */
    private Set<String> withDependencies(String job) {
        Set<String> all = new LinkedHashSet<>();
        Deque<String> queue = new ArrayDeque<>(List.of(job));
        while (!queue.isEmpty()) {
            String next = queue.poll();
            if (all.add(next) && jobs.containsKey(next)) {
                queue.addAll(jobs.get(next).dependencies());
            }
        }
        return all;
    }
}

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

/** Checks the protocol's rules from what really happens on machines and what users are answered. */
public final class InvariantChecker {
    /** "Once all troubles are over, a job about which no question is answered for 75 s counts as forgotten." */
    static final long MAX_UNANSWERED_MS = 75_000;
    /** "No job is left waiting for 90 s while a machine that fits has room and its team is under its limit." */
    static final long MAX_WAITING_MS = 90_000;
    /** The sum of what a team's tasks hold is rounded; the rule "more than the team's limit" allows nothing else. */
    private static final double ROUNDING = 1e-6;

    private static final double MS_PER_S = 1000;

    /** Where a task runs. */
    private record RunningTask(String machine, String zone) {}

    private final LongSupplier clock;
    private final Map<String, Double> coreLimits;
    private final Map<String, JobSpec> jobs = new HashMap<>();
    private final Map<String, RunningTask> running = new HashMap<>();
    private final Set<String> complete = new HashSet<>();
    private final CancellationChecker cancellations;
    private final AnswerHistory answers = new AnswerHistory();
    private final ServedJobs served = new ServedJobs();
    /** When a request about the job was last answered. */
    private final Map<String, Long> lastAnswerAt = new HashMap<>();
    /** Since when a job waits though it could start. */
    private final Map<String, Long> waitingSince = new HashMap<>();
    /** Submissions that must not be accepted. */
    private final Set<String> invalid = new HashSet<>();

    private final List<String> violations = new ArrayList<>();
    private int starts;
    private int killedByLeaseExpiry;
    private long lastStartAt;
    private long longestPauseMs;
    private long faultsOverAt = Long.MAX_VALUE / 2;

    /**
     * @param clock the time in milliseconds
     * @param cancelTimeoutMs how long tasks of a cancelled job may still run
     * @param coreLimits by team; absent: none
     */
    public InvariantChecker(LongSupplier clock, long cancelTimeoutMs, Map<String, Double> coreLimits) {
        this.clock = clock;
        this.coreLimits = coreLimits;
        this.cancellations = new CancellationChecker(clock, cancelTimeoutMs);
    }

    // ---- results -------------------------------------------------------------------------------

    /** The violations of rules so far, a line each. */
    public List<String> violations() {
        List<String> all = new ArrayList<>(violations);
        running.keySet().forEach(task -> checkCancelledTaskStopped(task, all));
        return all;
    }

    /** Classes, teams and largest jobs of a class of which less than half was served, or which began too late. */
    public List<String> underserved() {
        return served.underserved();
    }

    /** How many tasks have started. */
    public int starts() {
        return starts;
    }

    /** Tasks that were killed since their worker got no answer for its whole lease. */
    public int tasksKilledByLeaseExpiry() {
        return killedByLeaseExpiry;
    }

    /** The longest time in which nothing started anywhere. */
    public long longestPauseMs() {
        return Math.max(longestPauseMs, clock.getAsLong() - lastStartAt);
    }

    /** From now on pauses between starts are measured anew. */
    public void resetLongestPause() {
        lastStartAt = clock.getAsLong();
        longestPauseMs = 0;
    }

    /** Starts of jobs whose cancellation had been confirmed, whether or not the order was already in flight. */
    public long startsAfterCancel() {
        return cancellations.starts();
    }

    /** Orders to start that a worker was given after the job's cancellation had been confirmed. */
    public long startOrdersAfterCancel() {
        return cancellations.startOrders();
    }

    /** The longest time from a confirmation until a worker was ordered to start a task of the job; 0: none was. */
    public long longestStartOrderAfterCancelMs() {
        return cancellations.longestUntilStartOrderMs();
    }

    /** The longest time from a confirmation until a task of the job had stopped. */
    public long longestRunAfterCancelMs() {
        return cancellations.longestUntilStoppedMs();
    }

    /** Whether the task has completed on some machine. */
    public boolean isComplete(String task) {
        return complete.contains(task);
    }

    /** How many tasks of the job have completed. */
    public long completedTasks(JobSpec job) {
        return complete.stream().filter(task -> jobOf(task).equals(job.id())).count();
    }

    private void violation(String rule, String what) {
        violations.add(violationNow(rule, what));
    }

    private String violationNow(String rule, String what) {
        return rule + ": " + what + " at " + clock.getAsLong() / MS_PER_S;
    }

    static String jobOf(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    static boolean isFinal(String state) {
        return "done".equals(state) || "cancelled".equals(state);
    }

    // ---- what users do -------------------------------------------------------------------------

    /** A user submits a job. */
    public void submitted(JobSpec job) {
        jobs.put(job.id(), job);
        served.submitted(job, clock.getAsLong());
    }

    /** A user sends a submission of this id that can never run or lacks a field. */
    public void submittedInvalid(String job) {
        invalid.add(job);
        served.excused(job);
    }

    /** A user asks to cancel the job. */
    public void cancelRequested(String job) {
        cancellations.requested(job);
        served.excused(job);
    }

    boolean isCancelRequested(String job) {
        return cancellations.isRequested(job);
    }

    // ---- what happens on machines --------------------------------------------------------------

    /** So many tasks were killed at the end of their worker's lease. */
    public void killedByLeaseExpiry(int tasks) {
        killedByLeaseExpiry += tasks;
    }

    /**
     * A worker has been ordered to start a task.
     *
     * @param maxDelayMs how long after a confirmed cancellation a start may still be on its way
     */
    public void startOrdered(String machine, String task, long maxDelayMs) {
        cancellations
                .startOrdered(jobOf(task))
                .filter(delayMs -> delayMs > maxDelayMs)
                .ifPresent(delayMs -> violation(
                        "started_cancelled",
                        task + " was ordered on " + machine + " " + delayMs / MS_PER_S
                                + " s after its job was called cancelled"));
    }

    /** A task has its image and runs from now on. */
    public void started(String machine, String task, String type, String zone, boolean spot) {
        starts++;
        longestPauseMs = longestPauseMs();
        lastStartAt = clock.getAsLong();
        RunningTask other = running.get(task);
        if (other != null) {
            violation("ran_twice", task + " on " + other.machine() + " and " + machine);
        }
        checkCancelledTaskStopped(task, violations);
        String jobId = jobOf(task);
        cancellations.started(jobId);
        served.begun(jobId, clock.getAsLong());
        waitingSince.remove(jobId);
        running.put(task, new RunningTask(machine, zone));
        JobSpec job = jobs.get(jobId);
        if (job != null) {
            checkDependencies(job, task);
            checkOneZone(job, task, zone);
            if (!job.allows(type, zone, spot) || runningInZone(job, zone) > job.maxTasksPerZone()) {
                violation("wrong_place", task + " on " + type + " in " + zone);
            }
            checkQuota(job.team());
        }
    }

    /** A task is not on the machine any more. */
    public void stopped(String machine, String task) {
        RunningTask where = running.get(task);
        if (where != null && where.machine().equals(machine)) {
            checkCancelledTaskStopped(task, violations);
            cancellations.stopped(jobOf(task));
            running.remove(task);
        }
    }

    /** A task has completed. */
    public void completed(String task) {
        complete.add(task);
    }

    private void checkCancelledTaskStopped(String task, List<String> into) {
        if (cancellations.isOverdue(jobOf(task))) {
            into.add(violationNow("ran_cancelled", task));
        }
    }

    private void checkDependencies(JobSpec job, String task) {
        for (String dependency : job.dependencies()) {
            JobSpec required = jobs.get(dependency);
            if (cancellations.isConfirmed(dependency) || completedTasks(required) < required.tasks()) {
                violation("too_early", task + " before " + dependency + " is done");
            }
        }
    }

    private void checkOneZone(JobSpec job, String task, String zone) {
        if (!job.colocated()) {
            return;
        }
        running.forEach((other, where) -> {
            if (jobOf(other).equals(job.id()) && !where.zone().equals(zone)) {
                violation("wrong_place", task + " is not in the zone of " + other);
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
        if (limit != null && cores > limit + ROUNDING) {
            violation("quota", team + " holds " + cores);
        }
    }

    // ---- jobs left behind ----------------------------------------------------------------------

    /** From now on nothing fails any more: a job that still waits or is not answered has been left behind. */
    public void faultsOver() {
        faultsOverAt = clock.getAsLong();
        waitingSince.clear();
    }

    /** Whether a task of the job waits that may run on a machine with room, while its team is under its limit. */
    public void waits(String job, boolean couldStart) {
        long now = clock.getAsLong();
        if (!couldStart || now < faultsOverAt) {
            waitingSince.remove(job);
        } else if (now - waitingSince.computeIfAbsent(job, j -> now) > MAX_WAITING_MS) {
            violation("left_waiting", job + " since " + waitingSince.get(job) / MS_PER_S);
            waitingSince.put(job, now);
        }
    }

    private void checkIsAnswered(String job) {
        long unansweredSince = Math.max(faultsOverAt, lastAnswerAt.getOrDefault(job, 0L));
        if (answers.hasAnswerAbout(job) && clock.getAsLong() - unansweredSince > MAX_UNANSWERED_MS) {
            violation("forgotten", "no question about " + job + " is answered since " + unansweredSince / MS_PER_S);
            lastAnswerAt.put(job, clock.getAsLong());
        }
    }

    // ---- answers to users ----------------------------------------------------------------------

    /** A user sent a request about a job at this moment, and got this answer. */
    public void answered(String job, int httpStatus, String state) {
        answered(job, httpStatus, state, clock.getAsLong());
    }

    /**
     * A user sent a request about a job, or submitted it again, and got this answer now.
     *
     * @param requestedAt when the request was sent: its answer must not fall behind what any user knew by then
     */
    public void answered(String job, int httpStatus, String state, long requestedAt) {
        JobSpec spec = jobs.get(job);
        if (httpStatus / 100 == 2 && invalid.contains(job)) {
            violation("accepted_unfit", job);
        }
        if (httpStatus == 200 && spec == null) {
            violation("invented", job);
        }
        String knownState = answers.stateKnownAt(job, requestedAt);
        if (knownState != null && (httpStatus == 404 || httpStatus == 400 || httpStatus == 422)) {
            violation("forgotten", job + " was answered " + httpStatus);
        }
        if ((httpStatus != 200 && httpStatus != 201) || spec == null) {
            checkIsAnswered(job);
            return;
        }
        lastAnswerAt.put(job, clock.getAsLong());
        if (isFinal(knownState) && !knownState.equals(state)) {
            violation("went_back", job + " from " + knownState + " to " + state);
        }
        checkState(spec, state);
        served.answered(job, state);
        answers.add(job, state, clock.getAsLong());
    }

    private void checkState(JobSpec job, String state) {
        if ("cancelled".equals(state)) {
            if (withDependencies(job.id()).stream().noneMatch(cancellations::isRequested)) {
                violation("went_back", job.id() + " was not cancelled by its user, nor anything that it needs");
            }
            cancellations.confirmed(job.id());
        }
        if ("queued".equals(state) || "running".equals(state)) {
            checkNotOrphaned(job.id(), state);
        }
        if ("done".equals(state) && completedTasks(job) < job.tasks()) {
            violation("not_done", job.id());
        }
    }

    private void checkNotOrphaned(String job, String state) {
        for (String dependency : withDependencies(job)) {
            if (cancellations.isOverdue(dependency)) {
                violation("orphaned", job + " is called " + state + " long after " + dependency + " was cancelled");
            }
        }
    }

    /** The job and all that it depends on, directly or through others, as far as anybody submitted them. */
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

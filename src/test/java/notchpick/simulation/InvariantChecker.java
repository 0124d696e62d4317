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

/** Checks the protocol's rules from what really happens on machines and what users are told. */
public final class InvariantChecker {
    /** "Once all troubles are over, a job about which no question is answered for 75 s counts as forgotten." */
    static final long SILENT_MS = 75_000;
    /** "No job is left waiting for 90 s while a machine that fits has room and its team is under its limit." */
    static final long WAITING_MS = 90_000;
    /** The sum of what a team's tasks hold is rounded; the rule "more than the team's limit" allows nothing else. */
    private static final double ROUNDING = 1e-6;

    /** What a start looks like to the rules. */
    private record Running(String machine, String zone) {}

    /** An answer that users have got, and when it came. */
    private record Told(String state, long at) {}

    private final LongSupplier clock;
    private final long cancelMs;
    private final Map<String, Double> coreLimits;
    private final Map<String, JobSpec> jobs = new HashMap<>();
    private final Map<String, Running> running = new HashMap<>();
    private final Set<String> complete = new HashSet<>();
    private final Map<String, Long> toldCancelled = new HashMap<>();
    private final Map<String, List<Told>> told = new HashMap<>();
    private final ServedJobs served;
    /** When a question about the job was last answered. */
    private final Map<String, Long> heardAt = new HashMap<>();
    /** Since when a job waits though it could start. */
    private final Map<String, Long> waitingSince = new HashMap<>();
    /** Submissions that must not be accepted. */
    private final Set<String> unfit = new HashSet<>();

    private final Set<String> cancelAsked = new HashSet<>();
    private final List<String> breaches = new ArrayList<>();
    private int starts;
    private int killedByLease;
    private long lastStartAt;
    private long longestPauseMs;
    private long startsAfterCancel;
    private long ordersAfterCancel;
    private long longestAfterCancelMs;
    private long longestOrderAfterCancelMs;
    private long troublesOverAt = Long.MAX_VALUE / 2;

    /** @param coreLimits by team; absent: none */
    public InvariantChecker(LongSupplier clock, long cancelMs, Map<String, Double> coreLimits) {
        this.clock = clock;
        this.cancelMs = cancelMs;
        this.coreLimits = coreLimits;
        this.served = new ServedJobs();
    }

    /** What has been broken so far, a line each. */
    public List<String> breaches() {
        List<String> all = new ArrayList<>(breaches);
        running.keySet().forEach(task -> overdue(task, all));
        return all;
    }

    public int starts() {
        return starts;
    }

    /** Tasks that were killed since their worker got no answer for its whole lease. */
    public int killedByLease() {
        return killedByLease;
    }

    public void killedByLease(int tasks) {
        killedByLease += tasks;
    }

    /** From now on pauses between starts are measured anew. */
    public void watchPauses() {
        lastStartAt = clock.getAsLong();
        longestPauseMs = 0;
    }

    /** The longest time in which nothing started anywhere. */
    public long longestPauseMs() {
        return Math.max(longestPauseMs, clock.getAsLong() - lastStartAt);
    }

    public boolean isComplete(String task) {
        return complete.contains(task);
    }

    public long completed(JobSpec job) {
        return complete.stream().filter(task -> jobOf(task).equals(job.id())).count();
    }

    private void breach(String rule, String what) {
        breaches.add(rule + ": " + what + " at " + clock.getAsLong() / 1000.0);
    }

    /** A user submits a job. */
    public void submitted(JobSpec job) {
        jobs.put(job.id(), job);
        served.submitted(job, clock.getAsLong());
    }

    /** A user sends a submission of this id that can never run or lacks a field. */
    public void unfit(String job) {
        unfit.add(job);
        served.excused(job);
    }

    /** From now on nothing fails any more: what still waits or is not answered has been left behind. */
    public void troublesOver() {
        troublesOverAt = clock.getAsLong();
        waitingSince.clear();
    }

    /** Starts of jobs whose cancellation had been confirmed, in flight or not. */
    public long startsAfterCancel() {
        return startsAfterCancel;
    }

    /** Orders to start that a worker was given after the job's cancellation had been confirmed. */
    public long ordersAfterCancel() {
        return ordersAfterCancel;
    }

    /** The longest time from a confirmation until a worker was ordered to start a task of the job; 0: none was. */
    public long longestOrderAfterCancelMs() {
        return longestOrderAfterCancelMs;
    }

    /** The longest time from a confirmation until a task of the job was gone. */
    public long longestAfterCancelMs() {
        return longestAfterCancelMs;
    }

    /**
     * The worker has been given the command to start a task.
     *
     * @param lateMs how long after a confirmed cancellation a start may still be on its way
     */
    public void ordered(String machine, String task, long lateMs) {
        Long at = toldCancelled.get(jobOf(task));
        if (at != null) {
            ordersAfterCancel++;
            longestOrderAfterCancelMs = Math.max(longestOrderAfterCancelMs, clock.getAsLong() - at);
        }
        if (at != null && clock.getAsLong() - at > lateMs) {
            breach(
                    "started_cancelled",
                    task + " was ordered on " + machine + " " + (clock.getAsLong() - at) / 1000.0
                            + " s after its job was called cancelled");
        }
    }

    /** A job has tasks that wait, and may run on a machine with room, its team being under its limit; or not. */
    public void waits(String job, boolean couldStart) {
        long now = clock.getAsLong();
        if (!couldStart || now < troublesOverAt) {
            waitingSince.remove(job);
        } else if (now - waitingSince.computeIfAbsent(job, j -> now) > WAITING_MS) {
            breach("left_waiting", job + " since " + waitingSince.get(job) / 1000.0);
            waitingSince.put(job, now);
        }
    }

    /** Classes, teams and largest jobs of a class of which less than half was served, or which began too late. */
    public List<String> underserved() {
        return served.underserved();
    }

    static String jobOf(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    private void overdue(String task, List<String> into) {
        Long at = toldCancelled.get(jobOf(task));
        if (at != null && clock.getAsLong() - at > cancelMs) {
            into.add("ran_cancelled: " + task + " at " + clock.getAsLong() / 1000.0);
        }
    }

    /** A task has its image and runs from now on. */
    public void started(String machine, String task, String type, String zone, boolean spot) {
        starts++;
        longestPauseMs = longestPauseMs();
        lastStartAt = clock.getAsLong();
        JobSpec job = jobs.get(jobOf(task));
        Running other = running.get(task);
        if (other != null) {
            breach("ran_twice", task + " on " + other.machine() + " and " + machine);
        }
        overdue(task, breaches);
        startsAfterCancel += toldCancelled.containsKey(jobOf(task)) ? 1 : 0;
        served.begun(jobOf(task), clock.getAsLong());
        waitingSince.remove(jobOf(task));
        running.put(task, new Running(machine, zone));
        if (job == null) {
            return;
        }
        for (String need : job.dependencies()) {
            if (toldCancelled.containsKey(need)
                    || completed(jobs.get(need)) < jobs.get(need).tasks()) {
                breach("too_early", task + " before " + need + " is done");
            }
        }
        long inZone = 0;
        for (Map.Entry<String, Running> entry : running.entrySet()) {
            if (jobOf(entry.getKey()).equals(job.id())) {
                inZone += entry.getValue().zone().equals(zone) ? 1 : 0;
                if (job.colocated() && !entry.getValue().zone().equals(zone)) {
                    breach("wrong_place", task + " away from its fellows");
                }
            }
        }
        if (!job.allows(type, zone, spot) || inZone > job.maxTasksPerZone()) {
            breach("wrong_place", task + " on " + type + " in " + zone);
        }
        Double limit = coreLimits.get(job.team());
        double cores = 0;
        for (String running : this.running.keySet()) {
            JobSpec holder = jobs.get(jobOf(running));
            cores += holder != null && holder.team().equals(job.team())
                    ? holder.demand().cores()
                    : 0;
        }
        if (limit != null && cores > limit + ROUNDING) {
            breach("quota", job.team() + " holds " + cores);
        }
    }

    /** A task is not on the machine any more. */
    public void left(String machine, String task) {
        Running where = running.get(task);
        if (where != null && where.machine().equals(machine)) {
            overdue(task, breaches);
            Long at = toldCancelled.get(jobOf(task));
            if (at != null) {
                longestAfterCancelMs = Math.max(longestAfterCancelMs, clock.getAsLong() - at);
            }
            running.remove(task);
        }
    }

    public void completed(String task) {
        complete.add(task);
    }

    /** A user asks to cancel the job. */
    public void cancelAsked(String job) {
        cancelAsked.add(job);
        served.excused(job);
    }

    boolean isCancelAsked(String job) {
        return cancelAsked.contains(job);
    }

    /** The job and all that it needs, directly or through others, as far as anybody submitted them. */
    private Set<String> withNeeds(String job) {
        Set<String> all = new LinkedHashSet<>();
        Deque<String> due = new ArrayDeque<>(List.of(job));
        while (!due.isEmpty()) {
            String next = due.poll();
            if (all.add(next) && jobs.containsKey(next)) {
                due.addAll(jobs.get(next).dependencies());
            }
        }
        return all;
    }

    private void orphaned(String job, String state) {
        for (String need : withNeeds(job)) {
            Long at = toldCancelled.get(need);
            if (at != null && clock.getAsLong() - at > cancelMs) {
                breach("orphaned", job + " is called " + state + " long after " + need + " was cancelled");
            }
        }
    }

    /** A user asked about a job, or submitted it again, at this moment, and got this. */
    public void answered(String job, int status, String state) {
        answered(job, status, state, clock.getAsLong());
    }

    /**
     * A user asked about a job, or submitted it again, and got this now.
     *
     * @param askedAt when the question was sent: it must not be answered with less than any user knew by then
     */
    public void answered(String job, int status, String state, long askedAt) {
        JobSpec spec = jobs.get(job);
        if (status / 100 == 2 && unfit.contains(job)) {
            breach("accepted_unfit", job);
        }
        if (status == 200 && spec == null) {
            breach("invented", job);
        }
        String before = toldBy(job, askedAt);
        if (before != null && (status == 404 || status == 400 || status == 422)) {
            breach("forgotten", job + " was answered " + status);
        }
        if (status != 200 && status != 201 || spec == null) {
            unanswered(job);
            return;
        }
        heardAt.put(job, clock.getAsLong());
        if (isFinal(before) && !before.equals(state)) {
            breach("went_back", job + " from " + before + " to " + state);
        }
        if ("cancelled".equals(state)) {
            if (withNeeds(job).stream().noneMatch(cancelAsked::contains)) {
                breach("went_back", job + " was not cancelled by its user, nor anything that it needs");
            }
            toldCancelled.putIfAbsent(job, clock.getAsLong());
        }
        if ("queued".equals(state) || "running".equals(state)) {
            orphaned(job, state);
        }
        if ("done".equals(state) && completed(spec) < spec.tasks()) {
            breach("not_done", job);
        }
        served.told(job, state);
        told.computeIfAbsent(job, j -> new ArrayList<>()).add(new Told(state, clock.getAsLong()));
    }

    private void unanswered(String job) {
        List<Told> all = told.get(job);
        long silentSince = Math.max(troublesOverAt, heardAt.getOrDefault(job, 0L));
        if (all != null && clock.getAsLong() - silentSince > SILENT_MS) {
            breach("forgotten", "no question about " + job + " is answered since " + silentSince / 1000.0);
            heardAt.put(job, clock.getAsLong());
        }
    }

    static boolean isFinal(String state) {
        return "done".equals(state) || "cancelled".equals(state);
    }

    /** The furthest that any node had told by then; null: nothing. */
    private String toldBy(String job, long at) {
        String furthest = null;
        for (Told one : told.getOrDefault(job, List.of())) {
            if (one.at() <= at && !isFinal(furthest)) {
                furthest = one.state();
            }
        }
        return furthest;
    }
}

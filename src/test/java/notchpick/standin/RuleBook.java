package notchpick.standin;

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
public final class RuleBook {
    /** What a start looks like to the rules. */
    private record Running(String machine, String zone) {}

    private final LongSupplier clock;
    private final long cancelMs;
    private final Map<String, Double> coreLimits;
    private final Map<String, JobSpec> jobs = new HashMap<>();
    private final Map<String, Running> running = new HashMap<>();
    private final Set<String> complete = new HashSet<>();
    private final Map<String, Long> toldCancelled = new HashMap<>();
    private final Map<String, String> told = new HashMap<>();
    private final Set<String> cancelAsked = new HashSet<>();
    private final List<String> breaches = new ArrayList<>();
    private int starts;
    private int killedByLease;
    private long lastStartAt;
    private long longestPauseMs;

    /** @param coreLimits by team; absent: none */
    public RuleBook(LongSupplier clock, long cancelMs, Map<String, Double> coreLimits) {
        this.clock = clock;
        this.cancelMs = cancelMs;
        this.coreLimits = coreLimits;
    }

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

    public void submitted(JobSpec job) {
        jobs.put(job.id(), job);
    }

    private static String jobOf(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    private void overdue(String task, List<String> into) {
        Long at = toldCancelled.get(jobOf(task));
        if (at != null && clock.getAsLong() - at > cancelMs) {
            into.add("ran_cancelled: " + task + " at " + clock.getAsLong() / 1000.0);
        }
    }

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
        running.put(task, new Running(machine, zone));
        if (job == null) {
            return;
        }
        for (String need : job.needs()) {
            if (toldCancelled.containsKey(need) || completed(jobs.get(need)) < jobs.get(need).tasks()) {
                breach("too_early", task + " before " + need + " is done");
            }
        }
        long inZone = 0;
        for (Map.Entry<String, Running> entry : running.entrySet()) {
            if (jobOf(entry.getKey()).equals(job.id())) {
                inZone += entry.getValue().zone().equals(zone) ? 1 : 0;
                if (job.oneZone() && !entry.getValue().zone().equals(zone)) {
                    breach("wrong_place", task + " away from its fellows");
                }
            }
        }
        if (!job.allows(type, zone, spot) || inZone > job.zoneLimit()) {
            breach("wrong_place", task + " on " + type + " in " + zone);
        }
        Double limit = coreLimits.get(job.team());
        double cores = 0;
        for (String running : this.running.keySet()) {
            JobSpec holder = jobs.get(jobOf(running));
            cores += holder != null && holder.team().equals(job.team()) ? holder.demand().cores() : 0;
        }
        if (limit != null && cores > limit + 1e-6) {
            breach("quota", job.team() + " holds " + cores);
        }
    }

    public void left(String machine, String task) {
        Running where = running.get(task);
        if (where != null && where.machine().equals(machine)) {
            overdue(task, breaches);
            running.remove(task);
        }
    }

    public void completed(String task) {
        complete.add(task);
    }

    public void cancelAsked(String job) {
        cancelAsked.add(job);
    }

    /** The job and all that it needs, directly or through others, as far as anybody submitted them. */
    private Set<String> withNeeds(String job) {
        Set<String> all = new LinkedHashSet<>();
        Deque<String> due = new ArrayDeque<>(List.of(job));
        while (!due.isEmpty()) {
            String next = due.poll();
            if (all.add(next) && jobs.containsKey(next)) {
                due.addAll(jobs.get(next).needs());
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

    /** A user asked about a job, or submitted it again, and got this. */
    public void answered(String job, int status, String state) {
        JobSpec spec = jobs.get(job);
        String before = told.get(job);
        if (status == 200 && spec == null) {
            breach("invented", job);
        }
        if (before != null && (status == 404 || status == 400 || status == 422)) {
            breach("forgotten", job + " was answered " + status);
        }
        if (status != 200 && status != 201 || spec == null) {
            return;
        }
        if (("done".equals(before) || "cancelled".equals(before)) && !before.equals(state)) {
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
        told.put(job, state);
    }
}

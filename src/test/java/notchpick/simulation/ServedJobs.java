package notchpick.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import notchpick.scheduling.JobSpec;

/** Finds classes, teams and largest jobs that were served too little, which fails a run even without violations. */
final class ServedJobs {
    /** The largest jobs of a class must start within this time of their submission. */
    static final long MAX_START_DELAY_OF_LARGEST_MS = 240_000;
    /** At least half of a class, of a team and of a class's largest jobs must be served. */
    private static final int HALF_DIVISOR = 2;
    /** One in this many jobs of a class, rounded up, counts as its largest; the rules give no number. */
    private static final int LARGEST_DIVISOR = 10;

    private final Map<String, JobSpec> jobs = new LinkedHashMap<>();
    private final Map<String, Long> submittedAtMs = new HashMap<>();
    private final Map<String, Long> startedAtMs = new HashMap<>();
    private final Map<String, String> lastStates = new HashMap<>();
    /** Ids of jobs that need not be served. */
    private final Set<String> exemptJobs = new HashSet<>();

    /** Records that a user submitted the job. */
    void recordSubmission(JobSpec job, long atMs) {
        jobs.put(job.id(), job);
        submittedAtMs.put(job.id(), atMs);
    }

    /** Exempts a job that need not be served because its user cancelled it or it cannot run. */
    void exempt(String job) {
        exemptJobs.add(job);
    }

    /** Records that a task of the job has started; the first start counts. */
    void recordStart(String job, long atMs) {
        startedAtMs.putIfAbsent(job, atMs);
    }

    /** Records the job's state in an answer to a user. */
    void recordAnswer(String job, String state) {
        lastStates.put(job, state);
    }

    /** The groups that were less than half served, and the largest jobs that mostly started late, one line each. */
    List<String> underserved() {
        Map<String, List<JobSpec>> groups = new LinkedHashMap<>();
        Map<String, List<JobSpec>> classes = new LinkedHashMap<>();
        for (JobSpec job : jobs.values()) {
            if (!exemptJobs.contains(job.id())) {
                add(groups, "team " + job.team(), job);
                add(groups, "class " + job.jobClass(), job);
                add(classes, job.jobClass(), job);
            }
        }
        List<String> underserved = new ArrayList<>();
        classes.forEach((name, members) -> {
            List<JobSpec> largest = largest(members);
            groups.put("largest of " + name, largest);
            if (largest.stream().filter(this::startedLate).count() * HALF_DIVISOR > largest.size()) {
                underserved.add("largest of " + name + ": more than half started late");
            }
        });
        groups.forEach((name, members) -> {
            long served = members.stream()
                    .filter(job -> "done".equals(lastStates.get(job.id())))
                    .count();
            if (served * HALF_DIVISOR < members.size()) {
                underserved.add(name + ": " + served + " of " + members.size() + " served");
            }
        });
        return underserved;
    }

    private static void add(Map<String, List<JobSpec>> groups, String name, JobSpec job) {
        groups.computeIfAbsent(name, g -> new ArrayList<>()).add(job);
    }

    private static List<JobSpec> largest(List<JobSpec> members) {
        return members.stream()
                .sorted(Comparator.comparingDouble(
                        (JobSpec job) -> -job.tasks() * job.demand().cores()))
                .limit((members.size() + LARGEST_DIVISOR - 1) / LARGEST_DIVISOR)
                .toList();
    }

    private boolean startedLate(JobSpec job) {
        return startedAtMs.getOrDefault(job.id(), Long.MAX_VALUE) - submittedAtMs.get(job.id())
                > MAX_START_DELAY_OF_LARGEST_MS;
    }
}

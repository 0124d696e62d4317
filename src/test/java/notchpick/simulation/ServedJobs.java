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

/** Which classes, teams and largest jobs were served too little: a day on which work is never served has failed. */
final class ServedJobs {
    /** "The largest ones too have to begin within four minutes." */
    static final long MAX_START_DELAY_OF_LARGEST_MS = 240_000;
    /** "If less than half of a class, of a team or of a class's largest jobs is served": one in so many at least. */
    private static final int MIN_SERVED_DIVISOR = 2;
    /** One in so many jobs of a class, but one at least, counts among its largest; the rules name no number. */
    private static final int LARGEST_DIVISOR = 10;

    private final Map<String, JobSpec> jobs = new LinkedHashMap<>();
    private final Map<String, Long> submittedAtMs = new HashMap<>();
    private final Map<String, Long> startedAtMs = new HashMap<>();
    private final Map<String, String> lastStates = new HashMap<>();
    /** Jobs that need not be served. */
    private final Set<String> exemptJobs = new HashSet<>();

    /** A user has submitted the job. */
    void recordSubmission(JobSpec job, long atMs) {
        jobs.put(job.id(), job);
        submittedAtMs.put(job.id(), atMs);
    }

    /** The job need not be served: its user cancelled it, or it can't run. */
    void exempt(String job) {
        exemptJobs.add(job);
    }

    /** A task of the job has started. */
    void recordStart(String job, long atMs) {
        startedAtMs.putIfAbsent(job, atMs);
    }

    /** A user was answered with the state of the job. */
    void recordAnswer(String job, String state) {
        lastStates.put(job, state);
    }

    /** What was served less than half, or began too late, a line each. */
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
            if (largest.stream().filter(this::startedLate).count() * MIN_SERVED_DIVISOR > largest.size()) {
                underserved.add("largest of " + name + " begin late");
            }
        });
        groups.forEach((name, members) -> {
            long served = members.stream()
                    .filter(job -> "done".equals(lastStates.get(job.id())))
                    .count();
            if (served * MIN_SERVED_DIVISOR < members.size()) {
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

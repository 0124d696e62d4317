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
    static final long LARGEST_BEGIN_MS = 240_000;
    /** "If less than half of a class, of a team or of a class's largest jobs is served": one in so many at least. */
    private static final int HALF = 2;
    /** One in so many jobs of a class, but one at least, counts among its largest; the rules name no number. */
    private static final int LARGEST_PART = 10;

    private final Map<String, JobSpec> jobs = new LinkedHashMap<>();
    private final Map<String, Long> submittedAt = new HashMap<>();
    private final Map<String, Long> begunAt = new HashMap<>();
    private final Map<String, String> lastStates = new HashMap<>();
    /** Jobs that need not be served. */
    private final Set<String> excused = new HashSet<>();

    /** A user has submitted the job. */
    void submitted(JobSpec job, long at) {
        jobs.put(job.id(), job);
        submittedAt.put(job.id(), at);
    }

    /** The job need not be served: its user cancelled it, or it can't run. */
    void excused(String job) {
        excused.add(job);
    }

    /** A task of the job has started. */
    void begun(String job, long at) {
        begunAt.putIfAbsent(job, at);
    }

    /** A user was answered with the state of the job. */
    void answered(String job, String state) {
        lastStates.put(job, state);
    }

    /** What was served less than half, or began too late, a line each. */
    List<String> underserved() {
        Map<String, List<JobSpec>> groups = new LinkedHashMap<>();
        Map<String, List<JobSpec>> classes = new LinkedHashMap<>();
        for (JobSpec job : jobs.values()) {
            if (!excused.contains(job.id())) {
                add(groups, "team " + job.team(), job);
                add(groups, "class " + job.jobClass(), job);
                add(classes, job.jobClass(), job);
            }
        }
        List<String> poor = new ArrayList<>();
        classes.forEach((name, members) -> {
            List<JobSpec> largest = largest(members);
            groups.put("largest of " + name, largest);
            if (largest.stream().filter(this::beganLate).count() * HALF > largest.size()) {
                poor.add("largest of " + name + " begin late");
            }
        });
        groups.forEach((name, members) -> {
            long served = members.stream()
                    .filter(job -> "done".equals(lastStates.get(job.id())))
                    .count();
            if (served * HALF < members.size()) {
                poor.add(name + ": " + served + " of " + members.size() + " served");
            }
        });
        return poor;
    }

    private static void add(Map<String, List<JobSpec>> groups, String name, JobSpec job) {
        groups.computeIfAbsent(name, g -> new ArrayList<>()).add(job);
    }

    private static List<JobSpec> largest(List<JobSpec> members) {
        return members.stream()
                .sorted(Comparator.comparingDouble(
                        (JobSpec job) -> -job.tasks() * job.demand().cores()))
                .limit((members.size() + LARGEST_PART - 1) / LARGEST_PART)
                .toList();
    }

    private boolean beganLate(JobSpec job) {
        return begunAt.getOrDefault(job.id(), Long.MAX_VALUE) - submittedAt.get(job.id()) > LARGEST_BEGIN_MS;
    }
}

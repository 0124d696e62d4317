package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntToLongFunction;

/** The jobs that users submit, and what is known of their tasks outside the controllers. */
final class Jobs {
    /** A job: what its tasks take, how long they run, and which have completed. */
    static final class Job {
        final String id;
        final ObjectNode submission;
        final int tasks;
        final double cores;
        final double ram;
        final String image;
        final double imageGb;
        final boolean service;
        private final IntToLongFunction runMs;

        final Map<Integer, Long> completedAtMs = new TreeMap<>();
        /** The machine on which each task is, from the moment it has its image. */
        final Map<Integer, String> onMachine = new TreeMap<>();

        volatile long acceptedAtMs = -1;
        volatile long cancelledAtMs = -1;
        volatile long firstStartAtMs = -1;
        /** How often a task of the job has started. */
        volatile int starts;

        Job(ObjectNode submission, long runMs) {
            this(submission, task -> runMs);
        }

        /** @param runMs how long each task runs once it has its image, in milliseconds */
        Job(ObjectNode submission, IntToLongFunction runMs) {
            this.id = submission.path("ref").asText();
            this.submission = submission;
            this.tasks = submission.path("pieces").asInt();
            this.cores = submission.path("cores").asDouble();
            this.ram = submission.path("ramGb").asDouble();
            this.image = submission.path("bundle").asText();
            this.imageGb = submission.path("sizeGb").asDouble();
            this.service = submission.path("jobForm").asText().equals("service");
            this.runMs = runMs;
        }

        long runMs(int task) {
            return runMs.applyAsLong(task);
        }

        synchronized boolean allCompleted() {
            return !service && completedAtMs.size() == tasks;
        }

        synchronized long lastCompletedAtMs() {
            return completedAtMs.values().stream().mapToLong(at -> at).max().orElse(-1);
        }

        synchronized int completed() {
            return completedAtMs.size();
        }
    }

    private final Map<String, Job> jobs = new ConcurrentHashMap<>();
    /** Violations of ran_twice, as seen by the workers. */
    final List<String> ranTwice = new ArrayList<>();

    Job job(String id) {
        return jobs.get(id);
    }

    Job add(Job job) {
        jobs.put(job.id, job);
        return job;
    }

    /** The task has its image now and is on the machine. */
    void onMachine(Job job, int task, String machine) {
        synchronized (job) {
            job.starts++;
            if (job.firstStartAtMs < 0) {
                job.firstStartAtMs = Record.nowMs();
            }
            String other = job.onMachine.put(task, machine);
            if (other != null && !other.equals(machine)) {
                String text = "task " + job.id + "/" + task + " starts on " + machine + " while it is on " + other;
                Record.log("VIOLATION ran_twice: %s", text);
                ranTwice.add(text);
            }
        }
    }

    void offMachine(Job job, int task, String machine) {
        synchronized (job) {
            job.onMachine.remove(task, machine);
        }
    }

    /** A submission with the fields of the protocol; callers change what they need. */
    static ObjectNode submission(String id, int tasks, double cores, double ramGb) {
        ObjectNode body = Http.object()
                .put("ref", id)
                .put("workclass", "reconnect-credit")
                .put("ownerDesk", "ledger-desk")
                .put("jobForm", "sweep")
                .put("urgency", "normal")
                .put("pieces", tasks)
                .put("cores", cores)
                .put("gpus", 0.0)
                .put("ramGb", ramGb)
                .put("bundle", "img-01")
                .put("sizeGb", 0.5)
                .putNull("boxKinds")
                .putNull("site")
                .put("oneZone", false)
                .put("apart", false)
                .put("borrowed", true)
                .put("expectedS", 35.0)
                .put("bookmarkS", 0.0)
                .put("bookmarkWriteS", 0.0)
                .putNull("dueS");
        return body;
    }
}

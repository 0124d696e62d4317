package review;

import com.fasterxml.jackson.databind.JsonNode;

/** A job of many tiny tasks, more than 64 KiB of orders or of report on one machine. Without the trouble, larger ones. */
final class TinyTasks extends Case {
    private static final int LIMIT_BYTES = 64 << 10;
    private static final long WATCH_MS = 95_000;

    public static void main(String[] args) throws Exception {
        main(new TinyTasks(), args);
    }

    @Override
    int run() throws Exception {
        Site site = new Site(Site.Options.mombasa());
        site.start();
        var body = trouble
                ? Jobs.submission("run-000301", 3000, 0.01, 0.05)
                : Jobs.submission("run-000301", 200, 0.25, 0.45);
        body.put("ownerDesk", "fleet-tech").put("workclass", "sensor-poke").put("expectedS", 10.0);
        body.putArray("boxKinds").add("kubwa-32");
        Jobs.Job job = new Jobs.Job(body, 10_000);
        if (site.submit(job) != 201) {
            Record.say("the job was not accepted");
            return COULD_NOT_RUN;
        }
        boolean done = false;
        int longestLine = 0;
        int longestReport = 0;
        while (!done && Record.nowMs() < WATCH_MS) {
            Http.sleep(3000);
            JsonNode status = site.poll(job.id, true);
            done = status != null && status.path("status").asText().equals("done");
            for (Worker worker : site.cloud.workers()) {
                longestLine = Math.max(longestLine, worker.longestAnswerBytes);
                longestReport = Math.max(longestReport, worker.longestReportBytes);
            }
            Record.log(
                    "tasks completed on their machines: %d of %d, starts: %d; longest line of an answer to a worker:"
                            + " %d bytes, longest report: %d bytes",
                    job.completed(), job.tasks, job.starts, longestLine, longestReport);
        }
        Record.say(
                "job done: %s; tasks: %d, starts: %d; longest line of an answer to a worker: %d bytes of %d, longest"
                        + " report: %d bytes of %d",
                done, job.tasks, job.starts, longestLine, LIMIT_BYTES, longestReport, LIMIT_BYTES);
        return longestLine > LIMIT_BYTES ? BROKEN : HELD;
    }
}

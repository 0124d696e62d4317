package review;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Twelve jobs of two tasks each end at the same time on one machine. The leader crashes once: after the state service
 * has carried out its first transaction that records completed tasks, before its next transaction.
 */
final class DoneAfterCrash extends Case {
    private static final int JOBS = 12;
    /** The page allows 3 s; the test waits this long after the last task has completed and the crashed process is back. */
    private static final long PATIENCE_MS = 60_000;

    private volatile int crashed = -1;
    private Site site;

    public static void main(String[] args) throws Exception {
        main(new DoneAfterCrash(), args);
    }

    @Override
    int run() throws Exception {
        site = new Site(Site.Options.mombasa());
        site.state.hook = new StateService.Hook() {
            @Override
            public void committed(int controller, JsonNode transaction) {
                crashOnce(controller, transaction);
            }
        };
        site.start();
        List<Jobs.Job> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            jobs.add(submit(String.format("run-%06d", 101 + i)));
        }
        if (jobs.stream().anyMatch(job -> job.acceptedAtMs < 0)) {
            return COULD_NOT_RUN;
        }
        boolean completed = await(jobs, 50_000);
        long recordedByMs = Record.nowMs() + 10_000;
        while (trouble && crashed < 0 && Record.nowMs() < recordedByMs) {
            Http.sleep(50);
        }
        if (!completed || (trouble && crashed < 0)) {
            Record.say("the tasks did not complete, or no transaction recorded completions");
            return COULD_NOT_RUN;
        }
        Record.log("all tasks of all jobs have completed on their machines");
        // The crashed controller is back after 6 s; a leader is elected before.
        Http.sleep(8000);
        Record.log("kibanda-%d leads", site.leader());
        Jobs.Job later = submit("run-000201");
        long deadlineMs = Record.nowMs() + PATIENCE_MS;
        List<String> open = new ArrayList<>();
        boolean laterDone = false;
        while (Record.nowMs() < deadlineMs) {
            Http.sleep(2000);
            open.clear();
            for (Jobs.Job job : jobs) {
                String status = site.status(job.id, false);
                if (!status.equals("done")) {
                    open.add(job.id + "=" + status);
                }
            }
            laterDone |= site.status(later.id, false).equals("done");
            Record.log("user: polls of the %d jobs: not done: %s; run-000201 done: %s", JOBS, open, laterDone);
            if (open.isEmpty() && laterDone) {
                break;
            }
        }
        if (!laterDone) {
            Record.say("a job that was submitted after the crash did not become done either");
            return COULD_NOT_RUN;
        }
        for (Jobs.Job job : jobs) {
            site.poll(job.id, true);
            Record.log(
                    "%s: %d of %d tasks completed, the last one %.1f s ago",
                    job.id, job.completed(), job.tasks, (Record.nowMs() - job.lastCompletedAtMs()) / 1000.0);
        }
        Record.say("jobs whose tasks are all done but that are not called done: %d of %d %s", open.size(), JOBS, open);
        return open.isEmpty() ? HELD : BROKEN;
    }

    private Jobs.Job submit(String id) {
        var body = Jobs.submission(id, 2, 1.0, 1.6).put("ownerDesk", "cash-desk").put("workclass", "stock-count");
        body.putArray("boxKinds").add("kubwa-32");
        Jobs.Job job = new Jobs.Job(body, 12_000);
        site.submit(job);
        return job;
    }

    private static boolean await(List<Jobs.Job> jobs, long timeoutMs) {
        long deadlineMs = Record.nowMs() + timeoutMs;
        while (Record.nowMs() < deadlineMs) {
            if (jobs.stream().allMatch(Jobs.Job::allCompleted)) {
                return true;
            }
            Http.sleep(100);
        }
        return false;
    }

    private synchronized void crashOnce(int controller, JsonNode transaction) {
        boolean recordsCompletions = false;
        List<String> keys = new ArrayList<>();
        for (JsonNode write : transaction.path("writes")) {
            String key = write.path(write.has("put") ? "put" : "delete").asText();
            keys.add(key);
            recordsCompletions |= key.startsWith("done/");
        }
        if (recordsCompletions) {
            Record.log("state service: transaction of kibanda-%d carried out: %s", controller, keys);
            if (trouble && crashed < 0) {
                crashed = controller;
                site.crash(controller);
            }
        }
    }
}

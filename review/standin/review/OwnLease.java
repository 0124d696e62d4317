package review;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * The leader crashes. For the controllers that remain, two answers of the state service take a few hundred milliseconds:
 * those of the watches of the leader's key, and that of the transaction that elects the next leader. Then the zone of
 * the elected controller is cut off, with its workers.
 */
final class OwnLease extends Case {
    private static final int TASKS = 240;
    /** How long the answer to the electing transaction takes. */
    private static final long COMMIT_ANSWER_MS = 300;
    /** The answers of the watches arrive this long after the electing transaction was carried out. */
    private static final long WATCH_ANSWER_MS = 50;
    /** The answers of the watches take no longer than this. */
    private static final long MAX_WATCH_ANSWER_MS = 500;
    /** The zone is cut off this long after the elected controller has read the last key of its predecessor's state. */
    private static final long CUT_AFTER_MS = 20;

    private Site site;
    private volatile boolean armed;
    private volatile int elected = -1;
    private volatile long electedAtMs;
    private volatile boolean cutScheduled;

    public static void main(String[] args) throws Exception {
        main(new OwnLease(), args);
    }

    @Override
    int run() throws Exception {
        site = new Site(Site.Options.kigali());
        site.state.hook = new Hook();
        // The leader that will crash shares its zone with one of the others, so that those are in two zones.
        site.start(1);
        Jobs.Job job = new Jobs.Job(
                Jobs.submission("run-000501", TASKS, 1.0, 1.8).put("workclass", "meter-import").put("urgency", "high"),
                OwnLease::runMs);
        site.submit(job);
        long deadlineMs = Record.nowMs() + 30_000;
        while (job.onMachine.size() + job.completed() < TASKS || job.completed() < TASKS / 4) {
            if (Record.nowMs() > deadlineMs) {
                Record.say("the tasks did not start");
                return COULD_NOT_RUN;
            }
            Http.sleep(100);
        }
        Http.sleep(4000);
        int leader = site.leader();
        Record.log("kibanda-%d leads; machines: %s", leader, machines(job));
        if (trouble) {
            armed = true;
            site.crash(leader);
            for (int i = 0; i < 100 && elected < 0; i++) {
                Http.sleep(100);
            }
            if (elected < 0) {
                Record.say("no controller was elected");
                return COULD_NOT_RUN;
            }
        }
        long untilMs = Record.nowMs() + 50_000;
        while (Record.nowMs() < untilMs && site.jobs.ranTwice.isEmpty()) {
            Http.sleep(200);
        }
        Http.sleep(4000);
        Record.log("leader according to the state service: kibanda-%d", site.leader());
        Record.say("starts of a task that is on another machine: %d %s", site.jobs.ranTwice.size(), site.jobs.ranTwice);
        return site.jobs.ranTwice.isEmpty() ? HELD : BROKEN;
    }

    /**
     * A quarter of the tasks is short, so that the machines have room when the leader crashes. A quarter is long. The
     * others end one after another, and each time a task ends, its machine reports.
     */
    private static long runMs(int task) {
        return switch (task % 4) {
            case 0 -> 100_000;
            case 1 -> 4000;
            default -> 21_000 + task * 7919 % 6000;
        };
    }

    private static List<String> machines(Jobs.Job job) {
        synchronized (job) {
            return new ArrayList<>(job.onMachine.values());
        }
    }

    private final class Hook implements StateService.Hook {
        @Override
        public boolean isCutOff(int controller) {
            return site.isCutOff(controller);
        }

        @Override
        public void committed(int controller, JsonNode transaction) {
            if (electsLeader(transaction)) {
                Record.log("state service: kibanda-%d is elected by %s", controller, transaction.path("writes"));
                if (armed && elected < 0) {
                    electedAtMs = Record.nowMs();
                    elected = controller;
                }
            }
        }

        @Override
        public long holdAnswerMs(int controller, String method, String path, JsonNode body) {
            if (!armed) {
                return 0;
            }
            if (method.equals("DELETE")) {
                Record.log("state service: kibanda-%d ends a lease: DELETE %s", controller, path);
            } else if (path.startsWith("/changes?prefix=leader") && elected < 0 && site.state.value("leader") == null) {
                return holdWatch(controller);
            } else if (controller == elected && electsLeader(body)) {
                Record.log("state service: this answer to kibanda-%d takes %d ms", controller, COMMIT_ANSWER_MS);
                return COMMIT_ANSWER_MS;
            } else if (controller == elected && path.equals("/keys/commitments") && !cutScheduled) {
                cutScheduled = true;
                Http.THREADS.execute(() -> {
                    Http.sleep(CUT_AFTER_MS);
                    site.cutOff(site.zone(controller));
                });
            }
            return 0;
        }

        private long holdWatch(int controller) {
            long sinceMs = Record.nowMs();
            while (Record.nowMs() - sinceMs < MAX_WATCH_ANSWER_MS && elected < 0) {
                Http.sleep(5);
            }
            long holdMs = elected < 0 ? 0 : Math.max(0, electedAtMs + WATCH_ANSWER_MS - Record.nowMs());
            Record.log(
                    "state service: the answer to the watch of kibanda-%d takes %d ms",
                    controller, Record.nowMs() - sinceMs + holdMs);
            return holdMs;
        }
    }

    private static boolean electsLeader(JsonNode transaction) {
        for (JsonNode write : transaction.path("writes")) {
            if (write.path("put").asText().equals("leader")) {
                return true;
            }
        }
        return false;
    }
}

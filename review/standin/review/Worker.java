package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;

/** A stand-in for the worker on one machine, as the protocol page describes it. */
final class Worker implements Runnable {
    /** The machine. */
    record Machine(String name, String type, String zone, boolean spot, double cores, double ram, double fetchGbPerS) {}

    private static final class Task {
        Jobs.Job job;
        int index;
        long attempt;
        String status;
        String exit;
        boolean kept;
        long statusUntilMs;
    }

    private static final long REPLY_TIMEOUT_MS = 4000;
    private static final long MIN_REPORT_GAP_MS = 500;

    final Machine machine;
    private final Jobs jobs;
    private final Map<String, String> controllers;
    private final List<String> names;
    /** Whether this machine is cut off from a controller. */
    private final Predicate<String> isCutOff;

    private final long reportMs;
    private final long leaseMs;
    private final Random random;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private final Set<String> results = new HashSet<>();
    private String image;
    private long imageReadyAtMs;
    private long shift = 1;
    private long tally;
    private long mandate;
    private long leaseFromMs;
    private String leaseFrom;
    private long nextReportAtMs;
    private long lastReportAtMs = -MIN_REPORT_GAP_MS;
    private boolean changed;
    private int current;
    /** Statistics for the cases. */
    volatile int longestReportBytes;
    volatile int longestAnswerBytes;
    volatile int refusedReports;
    volatile int killedTasks;
    volatile int leaseEnds;
    volatile boolean gone;

    Worker(
            Machine machine,
            Jobs jobs,
            Map<String, String> controllers,
            Predicate<String> isCutOff,
            double reportS,
            double leaseS) {
        this.isCutOff = isCutOff;
        this.machine = machine;
        this.jobs = jobs;
        this.controllers = controllers;
        this.names = List.copyOf(controllers.keySet());
        this.reportMs = (long) (reportS * 1000);
        this.leaseMs = (long) (leaseS * 1000);
        this.random = new Random(machine.name().hashCode());
        this.current = random.nextInt(names.size());
    }

    @Override
    public void run() {
        leaseFromMs = Record.nowMs();
        Record.log("worker %s up", machine.name());
        while (!gone) {
            step();
            long nowMs = Record.nowMs();
            boolean due = nowMs >= nextReportAtMs || (changed && nowMs - lastReportAtMs >= MIN_REPORT_GAP_MS);
            if (due) {
                report();
            }
            Http.sleep(10);
        }
        tasks.values().forEach(this::leave);
        Record.log("worker %s gone", machine.name());
    }

    /** Advances the tasks, and ends the session if the lease has expired. */
    private void step() {
        long nowMs = Record.nowMs();
        if (nowMs - leaseFromMs > leaseMs) {
            int killed = 0;
            for (Task task : tasks.values()) {
                if (!task.status.equals("exited")) {
                    killed++;
                    leave(task);
                }
            }
            leaseEnds++;
            killedTasks += killed;
            Record.log(
                    "worker %s: lease expired, session %d ends, tasks killed: %d; the last answered report was sent at"
                            + " %.3f to %s",
                    machine.name(), shift, killed, leaseFromMs / 1000.0, leaseFrom);
            tasks.clear();
            image = null;
            shift++;
            leaseFromMs = nowMs;
            changed = true;
            return;
        }
        fetch(nowMs);
        for (Task task : tasks.values()) {
            if (task.status.equals("fetching") && images.contains(task.job.image)) {
                task.status = "running";
                jobs.onMachine(task.job, task.index, machine.name());
                long runMs = results.contains(name(task)) ? 0 : task.job.runMs(task.index);
                task.statusUntilMs = task.job.service ? Long.MAX_VALUE : nowMs + runMs;
                changed = true;
            } else if (task.status.equals("running") && nowMs >= task.statusUntilMs) {
                results.add(name(task));
                synchronized (task.job) {
                    task.job.completedAtMs.putIfAbsent(task.index, nowMs);
                }
                exit(task, "done");
            } else if (task.status.equals("saving") && nowMs >= task.statusUntilMs) {
                task.kept = true;
                exit(task, "stopped");
            }
        }
    }

    /** Fetches one image at a time, for the first task that waits for one. */
    private void fetch(long nowMs) {
        if (image != null && nowMs >= imageReadyAtMs) {
            images.add(image);
            image = null;
        }
        if (image == null) {
            for (Task task : tasks.values()) {
                if (task.status.equals("fetching") && !images.contains(task.job.image)) {
                    image = task.job.image;
                    imageReadyAtMs = nowMs + (long) (1000 * task.job.imageGb / machine.fetchGbPerS());
                    return;
                }
            }
        }
    }

    private static String name(Task task) {
        return task.job.id + "/" + task.index;
    }

    private void exit(Task task, String why) {
        leave(task);
        task.status = "exited";
        task.exit = why;
        changed = true;
    }

    private void leave(Task task) {
        if (task.job != null) {
            jobs.offMachine(task.job, task.index, machine.name());
        }
    }

    private void report() {
        ObjectNode body = Http.object()
                .put("box", machine.name())
                .put("address", "127.0.0.1:9")
                .put("boxKind", machine.type())
                .put("site", machine.zone())
                .put("borrowed", machine.spot())
                .put("shift", shift)
                .put("tally", ++tally)
                .put("mandate", mandate)
                .putNull("recallS");
        ArrayNode pieces = body.putArray("pieces");
        tasks.forEach((key, task) -> {
            ObjectNode piece = pieces.addObject()
                    .put("piece", key.substring(0, key.indexOf('#')))
                    .put("tryNo", task.attempt)
                    .put("status", task.status);
            if (task.exit != null) {
                piece.put("exitCause", task.exit);
            }
            if (task.kept) {
                piece.put("kept", true);
            }
        });
        byte[] bytes = Http.bytes(body);
        longestReportBytes = Math.max(longestReportBytes, bytes.length);
        long sentAtMs = Record.nowMs();
        long sentShift = shift;
        lastReportAtMs = sentAtMs;
        changed = false;
        nextReportAtMs = sentAtMs + (long) (reportMs * (0.75 + random.nextDouble() / 2));
        String node = names.get(current);
        // The tasks go on while the report is in flight.
        var pending = Http.THREADS.submit(() -> send(node, bytes));
        while (!pending.isDone()) {
            step();
            Http.sleep(2);
        }
        Http.Answer answer;
        try {
            answer = pending.get();
        } catch (Exception e) {
            answer = new Http.Answer(0, new byte[0]);
        }
        handle(node, answer, sentAtMs, sentShift, bytes.length);
    }

    private Http.Answer send(String node, byte[] report) {
        long sentAtMs = Record.nowMs();
        Http.Answer answer = isCutOff.test(node)
                ? new Http.Answer(0, new byte[0])
                : Http.call(controllers.get(node), "POST", "/hello", report, REPLY_TIMEOUT_MS);
        if (isCutOff.test(node)) {
            // Neither the report nor its answer gets through, and the worker waits for its timeout.
            Http.sleep(sentAtMs + REPLY_TIMEOUT_MS - Record.nowMs());
            return new Http.Answer(0, new byte[0]);
        }
        return answer;
    }

    private void handle(String node, Http.Answer answer, long sentAtMs, long sentShift, int sentBytes) {
        if (gone) {
            return;
        }
        if (answer.status() == 200) {
            longestAnswerBytes = Math.max(longestAnswerBytes, longestLine(answer.bytes()));
            JsonNode body = answer.body();
            long token = body.has("mandate") ? body.path("mandate").asLong() : -1;
            if (sentShift != shift || token < mandate || Record.nowMs() - sentAtMs > REPLY_TIMEOUT_MS) {
                return;
            }
            changed |= token > mandate;
            if (token > mandate) {
                Record.log("worker %s: token %d from %s", machine.name(), token, node);
            }
            mandate = token;
            leaseFromMs = sentAtMs;
            leaseFrom = node;
            body.path("orders").forEach(this::execute);
            return;
        }
        if (answer.status() == 421) {
            String foreman = answer.body().path("foreman").asText("");
            if (controllers.containsKey(foreman) && !foreman.equals(node)) {
                current = names.indexOf(foreman);
                nextReportAtMs = Record.nowMs();
                return;
            }
        } else {
            refusedReports++;
            Record.log(
                    "worker %s: report %d (%d bytes, %d pieces) answered %d by %s",
                    machine.name(), tally, sentBytes, tasks.size(), answer.status(), node);
        }
        current = (current + 1) % names.size();
        nextReportAtMs = Record.nowMs() + 1000;
        changed = false;
    }

    private static int longestLine(byte[] bytes) {
        int longest = 0;
        int length = 0;
        for (byte b : bytes) {
            length = b == '\n' ? 0 : length + 1;
            longest = Math.max(longest, length);
        }
        return longest;
    }

    private void execute(JsonNode order) {
        String piece = order.path("piece").asText();
        long attempt = order.path("tryNo").asLong();
        String key = piece + "#" + attempt;
        Task task = tasks.get(key);
        switch (order.path("orderKind").asText()) {
            case "run" -> {
                if (task == null) {
                    tasks.put(key, start(piece, attempt));
                    changed = true;
                }
            }
            case "halt" -> {
                if (task != null && !task.status.equals("exited")) {
                    halt(task, order.path("windDownS").asDouble());
                }
            }
            case "clear" -> {
                if (task != null && task.status.equals("exited")) {
                    tasks.remove(key);
                    changed = true;
                }
            }
            default -> Record.log("worker %s: unknown order %s", machine.name(), order);
        }
    }

    private void halt(Task task, double windDownS) {
        Record.log("worker %s: halt %s", machine.name(), name(task));
        double writeS = task.job.submission.path("bookmarkWriteS").asDouble();
        if (task.status.equals("running")
                && task.job.submission.path("bookmarkS").asDouble() > 0
                && windDownS >= writeS) {
            task.status = "saving";
            task.statusUntilMs = Record.nowMs() + (long) (writeS * 1000);
            changed = true;
        } else {
            exit(task, "stopped");
        }
    }

    private Task start(String piece, long attempt) {
        Task task = new Task();
        int slash = piece.lastIndexOf('/');
        task.job = jobs.job(piece.substring(0, slash));
        task.index = Integer.parseInt(piece.substring(slash + 1));
        task.attempt = attempt;
        task.status = "exited";
        if (task.job == null || task.index >= task.job.tasks) {
            task.exit = "unknown";
            return task;
        }
        double cores = 0;
        double ram = 0;
        for (Task other : tasks.values()) {
            if (!other.status.equals("exited")) {
                cores += other.job.cores;
                ram += other.job.ram;
                if (other.job == task.job && other.index == task.index) {
                    task.exit = "in_use";
                    return task;
                }
            }
        }
        if (cores + task.job.cores > machine.cores() + 1e-6 || ram + task.job.ram > machine.ram() + 1e-6) {
            task.exit = "full";
            return task;
        }
        if (task.job.tasks <= 300) {
            Record.log("worker %s: run %s attempt %d", machine.name(), piece, attempt);
        }
        if (task.job.cancelledAtMs >= 0) {
            Record.log("worker %s: run %s after its cancellation was confirmed", machine.name(), piece);
        }
        task.status = "fetching";
        return task;
    }
}

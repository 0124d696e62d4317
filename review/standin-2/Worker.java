package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import review2.Http.Answer;

/** The worker of one machine: reports to one controller at a time and runs tasks. */
final class Worker {
    /** Where workers tell what they run; the truth that a case is judged by. */
    interface Observer {
        void started(Worker worker, String task, long attempt);

        void stopped(Worker worker, String task, long attempt, String why);

        void ordered(Ordered ordered);
    }

    /** A task that an answer told the worker to run, and when the report with that answer was sent. */
    record Ordered(String worker, String task, long attempt, long reportSentAtMs) {}

    static final class Task {
        final String name;
        final long attempt;
        String status = "fetching";
        String exitCause;
        boolean kept;
        long fetchedAtMs;
        long startedAtMs;
        long endsAtMs;
        long savedAtMs;

        Task(String name, long attempt) {
            this.name = name;
            this.attempt = attempt;
        }

        boolean onMachine() {
            return status.equals("running") || status.equals("saving");
        }

        boolean exited() {
            return status.equals("exited");
        }
    }

    static final double CORES = 8;
    static final double RAM = 16;
    private static final long ANSWER_MS = 4000;

    final String name;
    final String type;
    final String zone;
    final boolean spot;
    private final Map<String, String> controllers;
    private final List<String> nodes;
    private final Jobs jobs;
    private final Map<String, Double> savedProgress;
    private final Map<String, Boolean> results;
    private final Observer observer;
    private final double reportS;
    private final double leaseS;
    private final double fetchGbPerS;
    private final Random random;
    private final HttpClient client = Http.client();
    private final HttpServer server;
    private final String address;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private volatile boolean dead;
    private volatile boolean sick;
    private long shift = 1;
    private long tally;
    private long mandate;
    private long leaseSinceMs = Rec.ms();
    private long higherTokenAtMs = -1_000_000;
    private boolean changed;
    private int at;

    Worker(
            String name,
            String type,
            String zone,
            boolean spot,
            Fleet fleet,
            Observer observer,
            double fetchGbPerS,
            long seed)
            throws IOException {
        this.name = name;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.controllers = fleet.controllers();
        this.nodes = new ArrayList<>(controllers.keySet());
        this.jobs = fleet.jobs();
        this.savedProgress = fleet.savedProgress();
        this.results = fleet.results();
        this.observer = observer;
        this.reportS = fleet.reportS();
        this.leaseS = fleet.leaseS();
        this.fetchGbPerS = fetchGbPerS;
        this.random = new Random(seed);
        this.at = random.nextInt(nodes.size());
        int port = Http.freePort();
        this.address = "127.0.0.1:" + port;
        this.server = Http.serve(port, this::direct);
    }

    /** What all workers of a deployment share. */
    record Fleet(
            Map<String, String> controllers,
            Jobs jobs,
            Map<String, Double> savedProgress,
            Map<String, Boolean> results,
            double reportS,
            double leaseS) {}

    void start() {
        Thread reports = new Thread(this::reportLoop, name);
        reports.setDaemon(true);
        reports.start();
        Thread work = new Thread(this::workLoop, name + "-tasks");
        work.setDaemon(true);
        work.start();
    }

    String address() {
        return address;
    }

    boolean isDead() {
        return dead;
    }

    /** From now on every task that is started here fails. */
    void setSick(boolean value) {
        sick = value;
    }

    /** The machine is gone, with all that is on it. */
    synchronized void die() {
        dead = true;
        server.stop(0);
        killAll("machine gone");
    }

    /** The cores that no task holds; fetching tasks count. */
    synchronized double freeCores() {
        double used = 0;
        for (Task task : tasks.values()) {
            used += task.exited() ? 0 : jobs.of(task.name).cores();
        }
        return CORES - used;
    }

    synchronized double freeRam() {
        double used = 0;
        for (Task task : tasks.values()) {
            used += task.exited() ? 0 : jobs.of(task.name).ram();
        }
        return RAM - used;
    }

    /** The tasks here that have not exited. */
    synchronized List<String> live() {
        return tasks.values().stream().filter(task -> !task.exited()).map(task -> task.name).toList();
    }

    private void killAll(String why) {
        for (Task task : tasks.values()) {
            if (task.onMachine()) {
                observer.stopped(this, task.name, task.attempt, why);
            }
        }
        tasks.clear();
    }

    private synchronized ObjectNode report() {
        ObjectNode body = Http.object()
                .put("box", name)
                .put("address", address)
                .put("boxKind", type)
                .put("site", zone)
                .put("borrowed", spot)
                .put("shift", shift)
                .put("tally", ++tally)
                .put("mandate", mandate)
                .putNull("recallS");
        ArrayNode pieces = body.putArray("pieces");
        for (Task task : tasks.values()) {
            ObjectNode piece = pieces.addObject()
                    .put("piece", task.name)
                    .put("tryNo", task.attempt)
                    .put("status", task.status);
            if (task.exited()) {
                piece.put("exitCause", task.exitCause);
                if (task.kept) {
                    piece.put("kept", true);
                }
            }
        }
        return body;
    }

    private void reportLoop() {
        try {
            long lastMs = -1_000_000;
            while (!dead) {
                long dueMs = lastMs + (long) (1000 * reportS * (0.75 + random.nextDouble() / 2));
                while (!dead && Rec.ms() < dueMs && !(hasChanged() && Rec.ms() >= lastMs + 500)) {
                    Thread.sleep(5);
                }
                if (dead) {
                    return;
                }
                lastMs = Rec.ms();
                if (!sendReport(lastMs)) {
                    Thread.sleep(1000);
                    lastMs = -1_000_000;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean hasChanged() {
        return changed;
    }

    /** Sends one report; false if the worker has to wait a second before it tries the next node. */
    private boolean sendReport(long sentAtMs) throws InterruptedException {
        ObjectNode body;
        long session;
        synchronized (this) {
            changed = false;
            body = report();
            session = shift;
        }
        String node = nodes.get(at);
        Answer answer = Http.call(client, "POST", controllers.get(node), "/hello", body, ANSWER_MS);
        if (dead) {
            return true;
        }
        if (answer.status() == 200) {
            accept(answer.body(), session, sentAtMs);
            return true;
        }
        if (answer.status() == 421 && answer.body() != null) {
            int next = nodes.indexOf(answer.body().path("foreman").asText());
            if (next >= 0 && next != at) {
                at = next;
                Thread.sleep(random.nextInt(500));
                return sendReport(Rec.ms());
            }
        }
        at = (at + 1) % nodes.size();
        return false;
    }

    private synchronized void accept(JsonNode body, long session, long sentAtMs) {
        if (dead || session != shift || body == null || !body.has("mandate")
                || body.path("mandate").asLong() < mandate || Rec.ms() - sentAtMs > ANSWER_MS) {
            return;
        }
        seeToken(body.path("mandate").asLong());
        leaseSinceMs = Math.max(leaseSinceMs, sentAtMs);
        body.path("orders").forEach(order -> {
            if (order.path("orderKind").asText().equals("run")) {
                observer.ordered(new Ordered(
                        name, order.path("piece").asText(), order.path("tryNo").asLong(), sentAtMs));
                Rec.log("worker %s: the answer to the report sent at %.3f orders run %s", name, sentAtMs / 1000.0,
                        order.path("piece").asText());
            }
            execute(order);
        });
    }

    private void seeToken(long token) {
        if (token > mandate) {
            mandate = token;
            if (Rec.ms() - higherTokenAtMs > leaseS * 500) {
                higherTokenAtMs = Rec.ms();
                changed = true;
            }
        }
    }

    private void execute(JsonNode order) {
        String piece = order.path("piece").asText();
        long attempt = order.path("tryNo").asLong();
        String key = piece + "#" + attempt;
        Task task = tasks.get(key);
        switch (order.path("orderKind").asText()) {
            case "run" -> {
                if (task == null) {
                    Rec.log("worker %s: run %s try %d", name, piece, attempt);
                    tasks.put(key, newTask(piece, attempt));
                    changed = true;
                }
            }
            case "halt" -> {
                if (task != null && !task.exited()) {
                    Jobs.Job job = jobs.of(piece);
                    if (task.status.equals("running")
                            && job.saveEveryS() > 0
                            && order.path("windDownS").asDouble() >= job.saveS()) {
                        task.status = "saving";
                        task.savedAtMs = Rec.ms() + (long) (1000 * job.saveS());
                        changed = true;
                    } else if (!task.status.equals("saving") || order.path("windDownS").asDouble() == 0) {
                        exit(task, "stopped");
                    }
                }
            }
            case "clear" -> {
                if (task != null && task.exited()) {
                    tasks.remove(key);
                    changed = true;
                }
            }
            default -> {}
        }
    }

    private Task newTask(String piece, long attempt) {
        Task task = new Task(piece, attempt);
        Jobs.Job job = jobs.of(piece);
        String refusal = null;
        if (job == null) {
            refusal = "unknown";
        } else if (tasks.values().stream().anyMatch(other -> other.name.equals(piece) && !other.exited())) {
            refusal = "in_use";
        } else if (freeCores() + 1e-6 < job.cores() || freeRam() + 1e-6 < job.ram()) {
            refusal = "full";
        }
        if (refusal != null) {
            task.status = "exited";
            task.exitCause = refusal;
        } else {
            task.fetchedAtMs = Rec.ms() + (long) (1000 * job.body().path("sizeGb").asDouble() / fetchGbPerS);
        }
        return task;
    }

    private void exit(Task task, String why) {
        boolean was = task.onMachine();
        task.status = "exited";
        task.exitCause = why;
        changed = true;
        if (was) {
            observer.stopped(this, task.name, task.attempt, why);
        }
    }

    private void workLoop() {
        try {
            while (!dead) {
                Thread.sleep(5);
                synchronized (this) {
                    if (dead) {
                        return;
                    }
                    if (Rec.ms() - leaseSinceMs > leaseS * 1000) {
                        if (!tasks.isEmpty()) {
                            Rec.log("worker %s: lease expired with %d tasks", name, tasks.size());
                        }
                        killAll("lease expired");
                        shift++;
                        leaseSinceMs = Rec.ms();
                        changed = true;
                    }
                    tasks.values().forEach(this::advance);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void advance(Task task) {
        Jobs.Job job = jobs.of(task.name);
        long now = Rec.ms();
        if (task.status.equals("fetching") && now >= task.fetchedAtMs) {
            task.status = "running";
            task.startedAtMs = now;
            boolean fails = sick || job.mistaken();
            double leftS = Boolean.TRUE.equals(results.get(task.name))
                    ? 0
                    : job.runS() - savedProgress.getOrDefault(task.name, 0.0);
            task.endsAtMs = fails
                    ? now + 300
                    : job.body().path("jobForm").asText().equals("service") ? Long.MAX_VALUE : now + (long) (1000 * leftS);
            changed = true;
            observer.started(this, task.name, task.attempt);
            task.kept = false;
            if (fails) {
                task.savedAtMs = -1;
            }
        } else if (task.status.equals("running") && now >= task.endsAtMs) {
            if (task.savedAtMs == -1) {
                exit(task, "error");
            } else {
                results.put(task.name, true);
                exit(task, "done");
            }
        } else if (task.status.equals("saving") && now >= task.savedAtMs) {
            savedProgress.merge(task.name, (now - task.startedAtMs) / 1000.0, Double::sum);
            task.kept = true;
            exit(task, "stopped");
        }
    }

    private synchronized Answer direct(String method, String path, Map<String, String> query, JsonNode body) {
        if (dead) {
            return new Answer(0, null);
        }
        if (path.equals("/show")) {
            return new Answer(200, report());
        }
        if (body == null || !body.has("mandate") || !body.has("shift")) {
            return new Answer(400, null);
        }
        if (body.path("mandate").asLong() < mandate || body.path("shift").asLong() != shift) {
            return new Answer(409, report());
        }
        seeToken(body.path("mandate").asLong());
        body.path("orders").forEach(this::execute);
        return new Answer(200, report());
    }
}

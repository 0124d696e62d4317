package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import review2.Http.Answer;

/** A small deployment: three controllers as separate processes, and the stand-ins of everything around them. */
final class Deployment implements AutoCloseable, Worker.Observer {
    /** A team and what it is guaranteed and allowed, in CPUs; 0 means none. */
    record Team(String name, double cpus, double cpusMax) {}

    /** The figures of one of the users' small deployments, as their brief gives them. */
    record Site(
            String name,
            List<String> zones,
            List<Team> teams,
            double leaseS,
            double cancelS,
            double writeRps,
            int valueKb,
            double cloudRps,
            double listLagS,
            Cloud.Type type,
            double cpu,
            double memoryMb,
            int sockets,
            double timeBoundMs) {}

    static final Site KIGALI = new Site(
            "kgb-kigali-sched",
            List.of("kigali-east", "huye-south"),
            List.of(new Team("ledger-desk", 0, 0)),
            22,
            42,
            100,
            32,
            6,
            3,
            new Cloud.Type("umurongo-8", 0.31, 0.08, 60, 0.2, 30),
            0.22,
            205,
            1500,
            100);
    static final Site MOMBASA = new Site(
            "pvs-mombasa-sched",
            List.of("mombasa-hq", "nairobi-depot"),
            List.of(new Team("routes-desk", 56, 144), new Team("cash-desk", 72, 112), new Team("fleet-tech", 112, 168)),
            29,
            54,
            60,
            16,
            10,
            4,
            new Cloud.Type("kati-8", 0.5, 0.17, 50, 0.25, 20),
            0.264,
            320,
            2500,
            250);
    /** The same with the guest team, which has no guarantee. */
    static final Site MOMBASA_OPS = new Site(
            "pvs-mombasa-sched-ops",
            MOMBASA.zones(),
            List.of(
                    new Team("routes-desk", 56, 144),
                    new Team("cash-desk", 72, 112),
                    new Team("fleet-tech", 112, 168),
                    new Team("uni-lab", 0, 0)),
            29,
            54,
            60,
            16,
            10,
            4,
            MOMBASA.type(),
            0.264,
            320,
            2500,
            250);
    private static final double REPORT_S = 3;
    private static final double STATE_RPS = 250;
    private static final int TXN_OPS = 12;
    private static final int CONTROLLERS = 3;
    /** How often the controllers are started if a port has been taken; nothing has been sent to them by then. */
    private static final int STARTS = 3;

    /** What the case must not see. */
    static final long MAX_WAIT_MS = 90_000;

    final Jobs jobs = new Jobs();
    final Site site;
    final StateService state;
    final Cloud cloud;
    final Map<String, String> userAddresses = new LinkedHashMap<>();
    private final Map<String, Proxy> links = new HashMap<>();
    private final Path folder;
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    private final Map<String, Path> settings = new LinkedHashMap<>();
    private final Map<String, Boolean> results = new ConcurrentHashMap<>();
    private final Map<String, String> onMachine = new ConcurrentHashMap<>();
    private final Map<String, String> lastStatus = new ConcurrentHashMap<>();
    private final Map<String, Long> waitingSinceMs = new HashMap<>();
    private final HttpClient users = Http.client();
    private final List<String> command;
    private final List<Worker.Ordered> orders = new java.util.concurrent.CopyOnWriteArrayList<>();
    private final java.util.Set<String> started = ConcurrentHashMap.newKeySet();
    private volatile int failures;

    Deployment(Site site) throws IOException {
        this.site = site;
        state = new StateService(STATE_RPS, site.writeRps(), site.valueKb(), TXN_OPS);
        folder = Files.createTempDirectory("review2-");
        command = runLine();
        List<Integer> peers = new ArrayList<>();
        for (int i = 0; i < CONTROLLERS; i++) {
            userAddresses.put("kibanda-" + i, "127.0.0.1:" + Http.freePort());
            peers.add(Http.freePort());
        }
        for (int i = 0; i < CONTROLLERS; i++) {
            for (int j = 0; j < CONTROLLERS; j++) {
                if (i != j) {
                    links.put("kibanda-" + i + ">kibanda-" + j, new Proxy(peers.get(j)));
                }
            }
        }
        Worker.Fleet fleet =
                new Worker.Fleet(userAddresses, jobs, new ConcurrentHashMap<>(), results, REPORT_S, site.leaseS());
        cloud = new Cloud(fleet, this, site.zones(), site.type(), (long) (1000 * site.listLagS()));
        int cloudPort = Http.freePort();
        cloud.serve(cloudPort);
        for (int i = 0; i < CONTROLLERS; i++) {
            String node = "kibanda-" + i;
            int statePort = Http.freePort();
            state.serve(node, statePort);
            Path file = folder.resolve(node + ".json");
            Files.write(file, Http.JSON.writeValueAsBytes(settings(i, peers, statePort, cloudPort)));
            settings.put(node, file);
        }
    }

    private static List<String> runLine() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
            if (line.startsWith("run = ")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("no run line in deploy/service.toml");
    }

    private ObjectNode settings(int i, List<Integer> peers, int statePort, int cloudPort) {
        ObjectNode root = Http.object()
                .put("node", "kibanda-" + i)
                .put("location", site.zones().get(i % 2))
                .put("serve_on", userAddresses.get("kibanda-" + i))
                .put("peer_bind", "127.0.0.1:" + peers.get(i));
        ArrayNode known = root.putArray("known");
        for (int j = 0; j < CONTROLLERS; j++) {
            if (j != i) {
                known.addObject().put("node", "kibanda-" + j).put("location", site.zones().get(j % 2))
                        .put("addr", links.get("kibanda-" + i + ">kibanda-" + j).address());
            }
        }
        root.putObject("outside").put("cloud", "127.0.0.1:" + cloudPort).put("state", "127.0.0.1:" + statePort);
        ObjectNode deployment = root.putObject("deployment").put("initial_size", CONTROLLERS);
        ArrayNode zones = deployment.putArray("zones");
        site.zones().forEach(zones::add);
        ArrayNode teams = deployment.putArray("teams");
        site.teams().forEach(team -> teams.addObject().put("name", team.name()).put("cpus", team.cpus())
                .put("cpus_max", team.cpusMax()).put("gpus", 0.0).put("gpus_max", 0.0));
        deployment.putArray("objectives");
        deployment.putObject("workers").put("report_s", REPORT_S).put("lease_s", site.leaseS()).put("gang_wait_s", 50.0)
                .put("gang_peer_s", 6.0).put("cancel_s", site.cancelS());
        deployment.putObject("state").put("rps", STATE_RPS).put("write_rps", site.writeRps())
                .put("value_kb", (double) site.valueKb()).put("txn_ops", TXN_OPS);
        deployment.putObject("cloud").put("rps", site.cloudRps()).put("list_lag_s", site.listLagS());
        deployment.putObject("machine_limits").put("cpu", site.cpu()).put("mem_mb", site.memoryMb())
                .put("fd_limit", site.sockets());
        deployment.put("time_bound_ms", site.timeBoundMs());
        return root;
    }

    /** Starts all controllers, and returns once one leads and all are ready. */
    void startAll() throws Exception {
        for (String node : settings.keySet()) {
            start(node);
        }
        long untilMs = Rec.ms() + 20_000;
        for (String node : settings.keySet()) {
            while (Http.call(users, "GET", userAddresses.get(node), "/ready", null, 1000).status() != 200) {
                if (!processes.get(node).isAlive()) {
                    throw new PortTaken(node + " ended at its start");
                }
                if (Rec.ms() > untilMs) {
                    throw new CannotRun(node + " is not ready");
                }
                Thread.sleep(50);
            }
        }
        while (state.leader() == null) {
            if (Rec.ms() > untilMs) {
                throw new CannotRun("no leader");
            }
            Thread.sleep(50);
        }
        Rec.log("all controllers are ready; leader %s", state.leader());
    }

    void start(String node) throws IOException {
        List<String> line = new ArrayList<>(command);
        line.add(settings.get(node).toString());
        ProcessBuilder builder = new ProcessBuilder(line);
        builder.environment().put("LOG_LEVEL", "info");
        builder.redirectError(ProcessBuilder.Redirect.appendTo(folder.resolve(node + ".log").toFile()));
        builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        processes.put(node, builder.start());
    }

    /** Cuts a controller off from the state service and the other controllers, not from workers and users. */
    void cutFromStateAndPeers(String node, boolean cut) {
        state.setCut(node, cut);
        links.forEach((ends, link) -> {
            if (ends.startsWith(node + ">") || ends.endsWith(">" + node)) {
                link.setCut(cut);
            }
        });
        Rec.log(cut ? "%s is cut off from the state service and the other controllers" : "%s is no longer cut off", node);
    }

    /** The lines of the controllers' logs that hold one of the words, for the record. */
    void copyLogs(String... words) throws IOException {
        for (String node : settings.keySet()) {
            Path file = folder.resolve(node + ".log");
            if (!Files.exists(file)) {
                continue;
            }
            for (String line : Files.readAllLines(file)) {
                for (String word : words) {
                    if (line.contains(word)) {
                        Rec.log("log of %s: %s", node, line);
                        break;
                    }
                }
            }
        }
    }

    /** Submits a job as users do: repeated until it is accepted, for up to 60 s. */
    void submit(Jobs.Job job) throws Exception {
        jobs.add(job);
        long untilMs = Rec.ms() + 60_000;
        int i = 0;
        while (Rec.ms() < untilMs) {
            String node = "kibanda-" + (i++ % CONTROLLERS);
            Answer answer = Http.call(users, "POST", userAddresses.get(node), "/submissions", job.body(), 5000);
            Rec.log("user: submit %s tasks=%d at %s -> %d %s", job.id(), job.tasks(), node, answer.status(), answer.body());
            if (answer.status() == 201 || answer.status() == 200) {
                lastStatus.put(job.id(), answer.body().path("status").asText());
                return;
            }
            Thread.sleep(1000);
        }
        throw new CannotRun(job.id() + " was not accepted");
    }

    /** Cancels a job as users do. */
    void cancel(String id) throws Exception {
        long untilMs = Rec.ms() + 60_000;
        int i = 0;
        while (Rec.ms() < untilMs) {
            String node = "kibanda-" + (i++ % CONTROLLERS);
            Answer answer =
                    Http.call(users, "POST", userAddresses.get(node), "/submissions/" + id + "/abort", Http.object(), 5000);
            Rec.log("user: abort %s at %s -> %d %s", id, node, answer.status(), answer.body());
            if (answer.status() == 200) {
                lastStatus.put(id, answer.body().path("status").asText());
                return;
            }
            Thread.sleep(1000);
        }
        throw new CannotRun(id + " could not be cancelled");
    }

    /** Submits a job at one node; it must be accepted at once. */
    void submitAt(Jobs.Job job, String node) throws CannotRun {
        jobs.add(job);
        Answer answer = Http.call(users, "POST", userAddresses.get(node), "/submissions", job.body(), 5000);
        Rec.log("user: submit %s tasks=%d at %s -> %d %s", job.id(), job.tasks(), node, answer.status(), answer.body());
        if (answer.status() != 201) {
            throw new CannotRun(job.id() + " was not accepted");
        }
    }

    /** Cancels a job at one node, which must confirm it at once. */
    void cancelAt(String id, String node) throws CannotRun {
        Answer answer =
                Http.call(users, "POST", userAddresses.get(node), "/submissions/" + id + "/abort", Http.object(), 5000);
        Rec.log("user: abort %s at %s -> %d %s", id, node, answer.status(), answer.body());
        if (answer.status() != 200 || !"cancelled".equals(answer.body().path("status").asText())) {
            throw new CannotRun(id + " was not cancelled");
        }
    }

    /** How many tasks of the job workers were told to run in answers to reports that they sent after this time. */
    int runsOrderedAfter(String id, long ms) {
        int count = 0;
        for (Worker.Ordered ordered : orders) {
            count += ordered.task().startsWith(id + "/") && ordered.reportSentAtMs() > ms ? 1 : 0;
        }
        return count;
    }

    @Override
    public void ordered(Worker.Ordered ordered) {
        orders.add(ordered);
    }

    /** Asks for the status of a job at any node; null if no node gave one. */
    String poll(String id) {
        for (String node : settings.keySet()) {
            Answer answer = Http.call(users, "GET", userAddresses.get(node), "/submissions/" + id, null, 2000);
            if (answer.status() == 200) {
                String status = answer.body().path("status").asText();
                String all = answer.body().toString();
                if (!all.equals(lastStatus.put(id + "/all", all))) {
                    Rec.log("user: poll %s at %s -> 200 %s", id, node, all);
                }
                lastStatus.put(id, status);
                return status;
            }
            Rec.log("user: poll %s at %s -> %d", id, node, answer.status());
        }
        return null;
    }

    boolean isDone(String task) {
        return results.containsKey(task);
    }

    /** How many tasks of the job started by orders in answers to reports that their workers sent after this time. */
    int startedByOrdersAfter(String id, long ms) {
        int count = 0;
        for (Worker.Ordered ordered : orders) {
            count += ordered.task().startsWith(id + "/")
                            && ordered.reportSentAtMs() > ms
                            && started.contains(ordered.task() + "#" + ordered.attempt())
                    ? 1
                    : 0;
        }
        return count;
    }

    /** The machine that a task runs on; null if it is on none. */
    String machineOf(String task) {
        return onMachine.get(task);
    }

    boolean awaitTask(String task, long ms) throws InterruptedException {
        long untilMs = Rec.ms() + ms;
        while (Rec.ms() < untilMs && machineOf(task) == null) {
            Thread.sleep(20);
        }
        return machineOf(task) != null;
    }

    boolean awaitFailures(int count, long ms) throws InterruptedException {
        long untilMs = Rec.ms() + ms;
        while (Rec.ms() < untilMs && failures < count) {
            Thread.sleep(20);
        }
        return failures >= count;
    }

    @Override
    public synchronized void started(Worker worker, String task, long attempt) {
        started.add(task + "#" + attempt);
        onMachine.put(task, worker.name);
        Rec.log("machine %s: %s try %d is on the machine", worker.name, task, attempt);
    }

    @Override
    public synchronized void stopped(Worker worker, String task, long attempt, String why) {
        onMachine.remove(task, worker.name);
        failures += why.equals("error") ? 1 : 0;
        Rec.log("machine %s: %s try %d ended: %s", worker.name, task, attempt, why);
    }

    /**
     * How long a task of the job has been waiting without a break while a machine that fits has room, in milliseconds;
     * must be called regularly. In the cases here no
     * team comes near its limit. Tasks that fetch their image don't wait.
     */
    long waitingMs(String id) {
        Jobs.Job job = null;
        for (Jobs.Job candidate : jobs.all()) {
            job = candidate.id().equals(id) ? candidate : job;
        }
        List<Worker> workers = cloud.workers();
        int placed = 0;
        List<String> zones = new ArrayList<>();
        for (Worker worker : workers) {
            for (String task : worker.live()) {
                if (task.startsWith(id + "/") && !isDone(task)) {
                    placed++;
                    zones.add(worker.zone);
                }
            }
        }
        int done = 0;
        for (int i = 0; i < job.tasks(); i++) {
            done += isDone(id + "/" + i) ? 1 : 0;
        }
        String machine = null;
        if (done + placed < job.tasks()) {
            for (Worker worker : workers) {
                boolean zoneFits = !job.body().path("oneZone").asBoolean() || zones.isEmpty() || zones.contains(worker.zone);
                if (job.allows(worker.zone, worker.spot) && zoneFits && worker.freeCores() + 1e-6 >= job.cores()
                        && worker.freeRam() + 1e-6 >= job.ram()) {
                    machine = worker.name + " (" + worker.zone + ", " + (worker.spot ? "cheap" : "ordinary") + ", "
                            + worker.freeCores() + " CPUs and " + worker.freeRam() + " GB free)";
                }
            }
        }
        if (machine == null) {
            if (waitingSinceMs.remove(id) != null) {
                Rec.log("truth: %s no longer waits beside a machine that fits", id);
            }
            return 0;
        }
        if (!waitingSinceMs.containsKey(id)) {
            Rec.log("truth: %s waits while %s has room", id, machine);
            waitingSinceMs.put(id, Rec.ms());
        }
        return Rec.ms() - waitingSinceMs.get(id);
    }

    @Override
    public void close() {
        cloud.workers().forEach(Worker::die);
        processes.values().forEach(Process::destroyForcibly);
        processes.values().forEach(process -> {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        if (System.getenv("KEEP") != null) {
            System.out.println("kept: " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.out.println("not removed: " + folder);
        }
    }

    /** The case could not be brought about; it says nothing about the rule. */
    static class CannotRun extends Exception {
        private static final long serialVersionUID = 1L;

        CannotRun(String reason) {
            super(reason);
        }
    }

    /** A controller could not listen: another process has taken its port since it was found to be free. */
    static final class PortTaken extends CannotRun {
        private static final long serialVersionUID = 1L;

        PortTaken(String reason) {
            super(reason);
        }
    }

    /** One case. */
    interface Case {
        /** Returns what broke the rule, or null if it held. */
        String run(Deployment deployment, boolean trouble) throws Exception;
    }

    /** Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    static void main(String recordFile, Site site, Case toRun) {
        int exit = 2;
        try {
            Rec.open(Path.of(recordFile));
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            Rec.log("TROUBLE=%d, settings of %s", trouble ? 1 : 0, site.name());
            String broken = run(site, toRun, trouble, STARTS);
            Rec.log(broken == null ? "RESULT: the rule held" : "RESULT: the rule was broken: " + broken);
            exit = broken == null ? 0 : 1;
        } catch (CannotRun e) {
            Rec.log("RESULT: the case could not run: %s", e.getMessage());
        } catch (Exception e) {
            Rec.log("RESULT: the case could not run: %s", e);
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private static String run(Site site, Case toRun, boolean trouble, int startsLeft) throws Exception {
        try (Deployment deployment = new Deployment(site)) {
            Thread hook = new Thread(deployment::close);
            Runtime.getRuntime().addShutdownHook(hook);
            try {
                deployment.startAll();
                return toRun.run(deployment, trouble);
            } finally {
                deployment.copyLogs("leader elected", "draining", "machine lost", "quarantin", "job done", "ERROR",
                        "task lost", "stepping down", "job cancelled", "recovery", "can't start");
                Runtime.getRuntime().removeShutdownHook(hook);
            }
        } catch (PortTaken e) {
            if (startsLeft <= 1) {
                throw e;
            }
            Rec.log("%s; once more with other ports", e.getMessage());
        }
        return run(site, toRun, trouble, startsLeft - 1);
    }
}

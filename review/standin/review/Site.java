package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A small deployment on loopback: three real controllers, and stand-ins of everything else. */
final class Site {
    /** A team: what it is guaranteed and its limit, in cores; 0 means none. */
    record Team(String name, double cpus, double cpusMax) {}

    /** The figures of a deployment's page. */
    static final class Options {
        int controllers = 3;
        List<String> zones = List.of("huye-south", "kigali-east");
        List<Cloud.Type> types =
                List.of(new Cloud.Type("umurongo-8", 8, 16, 0.31, 0.08, 30, List.of("kigali-east", "huye-south")));
        List<Team> teams = List.of(new Team("ledger-desk", 0, 0));
        double leaseS = 22;
        double cancelS = 42;
        double listLagS = 3;
        double writeRps = 100;
        int txnOps = 12;
        int valueKb = 32;
        double cloudRps = 6;
        int capacity = 17;

        /** The deployment kgb-kigali-sched. */
        static Options kigali() {
            return new Options();
        }

        /** The deployment pvs-mombasa-sched. */
        static Options mombasa() {
            Options options = new Options();
            options.zones = List.of("mombasa-hq", "nairobi-depot");
            options.types = List.of(
                    new Cloud.Type("kidogo-4", 4, 16, 0.27, 0.09, 25, options.zones),
                    new Cloud.Type("kati-8", 8, 16, 0.5, 0.17, 20, options.zones),
                    new Cloud.Type("kubwa-32", 32, 256, 2.4, 0.86, 50, options.zones));
            options.teams = List.of(
                    new Team("routes-desk", 56, 144), new Team("cash-desk", 72, 112), new Team("fleet-tech", 112, 168));
            options.leaseS = 29;
            options.cancelS = 54;
            options.listLagS = 4;
            options.writeRps = 60;
            options.valueKb = 16;
            options.cloudRps = 10;
            return options;
        }
    }

    private static final double REPORT_S = 3;
    private static final long RESTART_MS = 6000;

    final Options options;
    final Jobs jobs = new Jobs();
    final StateService state;
    final Cloud cloud;
    final Map<String, String> controllers = new LinkedHashMap<>();
    private final List<String> command;
    private final List<Path> settings = new ArrayList<>();
    private final Path folder;
    private final Process[] processes;
    private final List<Process> started = new ArrayList<>();
    private volatile boolean ending;
    /** The zone that is cut off; null if none is. */
    private volatile String cutZone;

    Site(Options options) throws IOException {
        this.options = options;
        this.command = runCommand();
        this.folder = Files.createTempDirectory("review");
        int count = options.controllers;
        this.processes = new Process[count];
        List<String> addresses = Http.freeAddresses(4 * count + count * count);
        List<String> stateAddresses = addresses.subList(2 * count, 3 * count);
        List<String> cloudAddresses = addresses.subList(3 * count, 4 * count);
        List<String> links = addresses.subList(4 * count, addresses.size());
        for (int i = 0; i < count; i++) {
            controllers.put("kibanda-" + i, addresses.get(i));
        }
        state = new StateService(new StateService.Settings(250, options.writeRps, options.valueKb, options.txnOps, 2));
        cloud = new Cloud(
                options.types,
                options.listLagS,
                machine -> new Worker(
                        machine,
                        jobs,
                        controllers,
                        node -> isCut(machine.zone(), zoneOf(node)),
                        REPORT_S,
                        options.leaseS));
        for (Cloud.Type type : options.types) {
            for (String zone : type.zones()) {
                cloud.setCapacity(type.name() + "/" + zone + "/spot", options.capacity);
                cloud.setCapacity(type.name() + "/" + zone + "/ordinary", options.capacity);
            }
        }
        for (int i = 0; i < count; i++) {
            Path file = folder.resolve("settings-" + i + ".json");
            Files.write(file, Http.bytes(settingsOf(i, addresses, links)));
            settings.add(file);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
        state.start(stateAddresses);
        for (int i = 0; i < count; i++) {
            String zone = zone(i);
            cloud.start(cloudAddresses.get(i), () -> isCutOff(zone));
            for (int j = 0; j < count; j++) {
                String other = zone(j);
                new Proxy(links.get(i * count + j), addresses.get(count + j), () -> isCut(zone, other));
            }
        }
    }

    /** Cuts a zone off from everything outside it. */
    void cutOff(String zone) {
        Record.log("zone %s is cut off from everything else", zone);
        cutZone = zone;
    }

    private boolean isCut(String zone, String otherZone) {
        return !zone.equals(otherZone) && (isCutOff(zone) || isCutOff(otherZone));
    }

    private boolean isCutOff(String zone) {
        return zone.equals(cutZone);
    }

    /** Whether the controller's zone is cut off. */
    boolean isCutOff(int controller) {
        return isCutOff(zone(controller));
    }

    private String zoneOf(String node) {
        return zone(Integer.parseInt(node.substring("kibanda-".length())));
    }

    /** The run line of the deploy file, as program and arguments. */
    private static List<String> runCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
            if (line.startsWith("run = \"")) {
                String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return Arrays.asList(text.split(" "));
            }
        }
        throw new IOException("deploy/service.toml has no run line");
    }

    private JsonNode settingsOf(int index, List<String> addresses, List<String> links) {
        int count = options.controllers;
        ObjectNode root = Http.object()
                .put("node", "kibanda-" + index)
                .put("location", zone(index))
                .put("serve_on", addresses.get(index))
                .put("peer_bind", addresses.get(count + index));
        ArrayNode known = root.putArray("known");
        for (int i = 0; i < count; i++) {
            if (i != index) {
                known.addObject()
                        .put("node", "kibanda-" + i)
                        .put("location", zone(i))
                        .put("addr", links.get(index * count + i));
            }
        }
        root.putObject("outside")
                .put("cloud", addresses.get(3 * count + index))
                .put("state", addresses.get(2 * count + index));
        ObjectNode deployment = root.putObject("deployment").put("initial_size", count);
        ArrayNode zones = deployment.putArray("zones");
        options.zones.forEach(zones::add);
        ArrayNode teams = deployment.putArray("teams");
        for (Team team : options.teams) {
            teams.addObject()
                    .put("name", team.name())
                    .put("cpus", team.cpus())
                    .put("cpus_max", team.cpusMax())
                    .put("gpus", 0.0)
                    .put("gpus_max", 0.0);
        }
        deployment.putArray("objectives");
        deployment
                .putObject("workers")
                .put("report_s", REPORT_S)
                .put("lease_s", options.leaseS)
                .put("gang_wait_s", 50.0)
                .put("gang_peer_s", 6.0)
                .put("cancel_s", options.cancelS);
        deployment
                .putObject("state")
                .put("rps", 250.0)
                .put("write_rps", options.writeRps)
                .put("value_kb", (double) options.valueKb)
                .put("txn_ops", options.txnOps);
        deployment.putObject("cloud").put("rps", options.cloudRps).put("list_lag_s", options.listLagS);
        deployment
                .putObject("machine_limits")
                .put("cpu", 0.22)
                .put("mem_mb", 205.0)
                .put("fd_limit", 1500);
        deployment.put("time_bound_ms", 100.0);
        return root;
    }

    String zone(int index) {
        return options.zones.get(index % options.zones.size());
    }

    String address(int controller) {
        return controllers.get("kibanda-" + controller);
    }

    /** Starts all controllers and waits until they are ready and one leads. */
    void start() throws IOException {
        start(-1);
    }

    /** Starts all controllers; the given one, if any, only after another one leads. */
    void start(int last) throws IOException {
        long deadlineMs = Record.nowMs() + 25_000;
        for (int i = 0; i < processes.length; i++) {
            if (i != last) {
                startController(i);
            }
        }
        while (leader() < 0) {
            checkTime(deadlineMs, "no leader");
        }
        if (last >= 0) {
            startController(last);
        }
        for (int i = 0; i < processes.length; i++) {
            while (Http.call(address(i), "GET", "/ready", null, 1000).status() != 200) {
                checkTime(deadlineMs, "a controller is not ready");
            }
        }
        Record.log("all controllers are ready, kibanda-%d leads", leader());
    }

    private static void checkTime(long deadlineMs, String problem) throws IOException {
        if (Record.nowMs() > deadlineMs) {
            throw new IOException(problem);
        }
        Http.sleep(50);
    }

    private synchronized void startController(int index) throws IOException {
        if (ending) {
            return;
        }
        List<String> line = new ArrayList<>(command);
        line.add(settings.get(index).toString());
        processes[index] = new ProcessBuilder(line)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.appendTo(
                        folder.resolve("controller-" + index + ".log").toFile()))
                .start();
        started.add(processes[index]);
        Record.log("kibanda-%d started", index);
    }

    /** Kills a controller without warning; the platform starts it again a little later, with the same settings. */
    void crash(int index) {
        Process process = processes[index];
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Record.log("kibanda-%d killed", index);
        Http.THREADS.execute(() -> {
            Http.sleep(RESTART_MS);
            try {
                startController(index);
            } catch (IOException e) {
                Record.log("kibanda-%d can't be started: %s", index, e);
            }
        });
    }

    /** The controller that leads according to the state service; -1 if there is none. */
    int leader() {
        JsonNode leader = state.value("leader");
        return leader == null ? -1 : Integer.parseInt(leader.path("node").asText().substring("kibanda-".length()));
    }

    /** Submits a job as a user does: repeats for up to 60 s until it is accepted. Returns the last status. */
    int submit(Jobs.Job job) {
        jobs.add(job);
        long deadlineMs = Record.nowMs() + 60_000;
        int status = 0;
        for (int i = 0; Record.nowMs() < deadlineMs; i++) {
            String node = "kibanda-" + Math.floorMod(job.id.hashCode() + i, options.controllers);
            Http.Answer answer =
                    Http.call(controllers.get(node), "POST", "/submissions", Http.bytes(job.submission), 5000);
            status = answer.status();
            Record.log(
                    "user: POST /submissions %s at %s: %d %s", job.id, node, status, new String(answer.bytes()));
            if (status == 200 || status == 201) {
                job.acceptedAtMs = Record.nowMs();
                return status;
            }
            if (status == 400 || status == 422) {
                return status;
            }
            Http.sleep(1000);
        }
        return status;
    }

    /** Asks for the status of a job at the first controller that answers; null if none does. */
    JsonNode poll(String id, boolean log) {
        for (String node : controllers.keySet()) {
            Http.Answer answer = Http.call(controllers.get(node), "GET", "/submissions/" + id, null, 2000);
            if (answer.status() == 200 || answer.status() == 404) {
                if (log) {
                    Record.log("user: GET %s at %s: %d %s", id, node, answer.status(), new String(answer.bytes()));
                }
                return answer.status() == 200 ? answer.body() : Http.object().put("status", "404");
            }
        }
        return null;
    }

    String status(String id, boolean log) {
        JsonNode body = poll(id, log);
        return body == null ? "no answer" : body.path("status").asText();
    }

    /** Ends all processes that were started and removes the temporary folder. */
    void end() {
        synchronized (this) {
            if (ending) {
                return;
            }
            ending = true;
        }
        for (Process process : started) {
            process.destroyForcibly();
        }
        for (Process process : started) {
            try {
                process.waitFor(10, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        String keep = System.getenv("KEEP_LOGS");
        try {
            for (Path file : Files.list(folder).toList()) {
                if (keep != null && file.toString().endsWith(".log")) {
                    Files.copy(
                            file,
                            Path.of(keep).resolve(file.getFileName()),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
                Files.delete(file);
            }
            Files.delete(folder);
        } catch (IOException e) {
            System.err.println("can't remove " + folder + ": " + e);
        }
    }
}

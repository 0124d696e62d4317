package notchpick.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import notchpick.protocol.Json;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.NodePool;
import notchpick.scheduling.Resources;
import notchpick.simulation.InvariantChecker;
import notchpick.simulation.SimulatedCloud;
import notchpick.simulation.SimulatedStateStore;
import notchpick.simulation.SimulatedTime;
import notchpick.simulation.SimulatedWorker;
import notchpick.transport.HttpCaller;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpHandler;
import notchpick.transport.JettyHttpCaller;
import notchpick.transport.JettyHttpServer;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/**
 * Puts one real controller under the load of a fleet on loopback and tells what processor time it takes. Arguments:
 * machines (0: only the start), seconds of measuring, seconds that a task runs, and the command that runs the
 * controller, but for its settings file. The stand-ins keep real time here.
 */
public final class FleetLoad implements SimulatedWorker.Jobs {
    private static final double REPORT_S = 5;
    private static final int TASKS_A_MACHINE = 4;
    private static final int TASKS_A_JOB = 200;
    private static final long TICKS_PER_S = 100;

    private final int machines;
    private final double runS;
    private final SimulatedTime simulation = new SimulatedTime();
    private final ConcurrentLinkedQueue<Runnable> arrived = new ConcurrentLinkedQueue<>();
    private final long startedAt = System.nanoTime();
    private final Map<String, Long> saved = new HashMap<>();
    private final InvariantChecker rules = new InvariantChecker(simulation::now, 60_000, Map.of());
    private final Resources demand = new Resources(2, 0, 4);
    private long reports;
    private int jobs;

    private FleetLoad(int machines, double runS) {
        this.machines = machines;
        this.runS = runS;
    }

    /** Measures what a controller costs among stand-ins on loopback; see the README. */
    public static void main(String[] args) throws Exception {
        new FleetLoad(Integer.parseInt(args[0]), Double.parseDouble(args[2]))
                .run(Integer.parseInt(args[1]), new ArrayList<>(List.of(args).subList(3, args.length)));
    }

    private void run(int seconds, List<String> command) throws Exception {
        List<String> ports = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            try (ServerSocket socket = new ServerSocket(0)) {
                ports.add("127.0.0.1:" + socket.getLocalPort());
            }
        }
        SimulatedStateStore state = new SimulatedStateStore(simulation::now, simulation::after, 12, 1000, 60);
        Map<String, MachineType> types = new LinkedHashMap<>();
        types.put("m8", new MachineType("m8", new Resources(8, 0, 32), 50, 1, 1, 0.3, 5, List.of("east", "west")));
        QueuedThreadPool threads = new QueuedThreadPool(16, 4);
        threads.start();
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
        scheduler.start();
        JettyHttpCaller sockets = new JettyHttpCaller(threads, scheduler, Math.max(4, 2 * machines), 2000);
        HttpCaller caller = (call, timeoutMs, then) ->
                sockets.call(call, timeoutMs, answer -> arrived.add(() -> then.accept(answer)));
        HttpCaller worker = (call, timeoutMs, then) -> {
            reports++;
            caller.call(call, timeoutMs, then);
        };
        Map<String, String> controllers = Map.of("r-0", ports.get(2));
        SimulatedCloud cloud = new SimulatedCloud(
                simulation::now,
                simulation::after,
                types,
                rented -> new SimulatedWorker(
                        simulation,
                        worker,
                        rules,
                        this,
                        rented.name,
                        rented.type,
                        rented.zone,
                        rented.spot,
                        controllers,
                        (long) (REPORT_S * 1000),
                        30_000,
                        saved),
                name -> {});
        cloud.capacity(new NodePool("m8", "east", true), machines / 2);
        cloud.capacity(new NodePool("m8", "west", true), machines - machines / 2);
        HttpHandler stateInTurn = (call, reply) -> arrived.add(() -> state.handle(call, reply));
        HttpHandler cloudInTurn = (call, reply) -> arrived.add(() -> cloud.handle(call, reply));
        new JettyHttpServer(
                        threads,
                        scheduler,
                        new ArrayByteBufferPool(),
                        Map.of(ports.get(0), stateInTurn, ports.get(1), cloudInTurn),
                        "",
                        60_000,
                        Math.max(100, 2 * machines),
                        10_000)
                .start();
        Path settings = Files.createTempFile("fleet-load", ".json");
        Files.write(settings, Json.bytes(settings(ports)));
        command.add(settings.toString());
        Process controller = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        try {
            awaitReady(caller, ports.get(2), controller);
            if (machines == 0) {
                return;
            }
            simulation.after(3000, () -> submit(caller, ports.get(2)));
            playUntil(45_000);
            long cpu = ticks(controller);
            long reportsBefore = reports;
            int startsBefore = rules.starts();
            long writesBefore = state.writes();
            playUntil(45_000 + seconds * 1000L);
            double cpuS = (ticks(controller) - cpu) / (double) TICKS_PER_S;
            double span = seconds;
            System.out.printf(
                    "machines %d: %.3f of a core, %.1f reports/s, %.1f starts/s, %.1f writes/s, "
                            + "%.3f ms a report, all told%n",
                    machines,
                    cpuS / span,
                    (reports - reportsBefore) / span,
                    (rules.starts() - startsBefore) / span,
                    (state.writes() - writesBefore) / span,
                    1000 * cpuS / (reports - reportsBefore));
            System.out.printf(
                    "high-water marks: %s of memory, %s threads%n",
                    status(controller, "VmHWM"), status(controller, "Threads"));
        } finally {
            controller.destroy();
            controller.waitFor(30, TimeUnit.SECONDS);
            Files.deleteIfExists(settings);
            System.exit(0);
        }
    }

    /** Tells what processor time it took until the balancer's first probe would have been answered. */
    private void awaitReady(HttpCaller caller, String address, Process controller) throws Exception {
        int[] status = {0};
        for (long now = 0; status[0] != 200 && now < 30_000; now += 5) {
            caller.call(new Request(address, "GET", "/ready", null), 1000, answer -> status[0] = answer.status());
            playUntil((System.nanoTime() - startedAt) / 1_000_000 + 5);
        }
        System.out.printf("ready after %.0f ms of processor time%n", cpuMs(controller));
    }

    private static String status(Process process, String field) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith(field + ":")) {
                return line.substring(field.length() + 1).strip();
            }
        }
        return "?";
    }

    private static double cpuMs(Process process) throws IOException {
        double nanos = 0;
        try (Stream<Path> threads = Files.list(Path.of("/proc/" + process.pid() + "/task"))) {
            for (Path thread : threads.toList()) {
                nanos += Double.parseDouble(
                        Files.readString(thread.resolve("schedstat")).split(" ")[0]);
            }
        }
        return nanos / 1e6;
    }

    /** Stand-ins run in this thread, by the real clock. */
    private void playUntil(long endMs) throws InterruptedException {
        for (long now = 0; now < endMs; ) {
            now = (System.nanoTime() - startedAt) / 1_000_000;
            simulation.runUntil(now);
            for (Runnable work = arrived.poll(); work != null; work = arrived.poll()) {
                work.run();
            }
            Thread.sleep(1);
        }
    }

    private static long ticks(Process process) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
    }

    /** Keeps twice as much waiting as runs. */
    private void submit(HttpCaller caller, String address) {
        while (jobs * TASKS_A_JOB - rules.starts() < machines * TASKS_A_MACHINE * 2) {
            ObjectNode body = Json.object()
                    .put("ref", String.format("run-%06d", ++jobs))
                    .put("workclass", "c")
                    .put("ownerDesk", "a")
                    .put("jobForm", "sweep")
                    .put("urgency", "normal")
                    .put("pieces", TASKS_A_JOB)
                    .put("cores", demand.cores())
                    .put("gpus", 0.0)
                    .put("ramGb", demand.ram())
                    .put("bundle", "img-" + jobs % 8)
                    .put("sizeGb", 1.0)
                    .put("oneZone", false)
                    .put("apart", false)
                    .put("borrowed", true)
                    .put("expectedS", runS)
                    .put("bookmarkS", 0.0)
                    .put("bookmarkWriteS", 0.0);
            caller.call(new Request(address, "POST", "/submissions", Json.bytes(body)), 5000, answer -> {});
        }
        simulation.after(1000, () -> submit(caller, address));
    }

    private static ObjectNode settings(List<String> ports) {
        ObjectNode root = Json.object()
                .put("node", "r-0")
                .put("location", "east")
                .put("serve_on", ports.get(2))
                .put("peer_bind", ports.get(3));
        root.putArray("known");
        root.putObject("outside").put("cloud", ports.get(1)).put("state", ports.get(0));
        ObjectNode deployment = root.putObject("deployment");
        deployment.putArray("zones").add("east").add("west");
        deployment.putArray("teams").addObject().put("name", "a");
        deployment
                .putObject("workers")
                .put("report_s", REPORT_S)
                .put("lease_s", 30.0)
                .put("cancel_s", 60.0);
        deployment
                .putObject("state")
                .put("rps", 1000.0)
                .put("write_rps", 60.0)
                .put("value_kb", 16.0)
                .put("txn_ops", 12);
        deployment.putObject("cloud").put("rps", 10.0).put("list_lag_s", 3.0);
        deployment.putObject("machine_limits").put("fd_limit", 4000);
        return root;
    }

    @Override
    public Resources demand(String job) {
        return demand;
    }

    @Override
    public long runMs(String task) {
        return (long) (runS * 1000 * (0.5 + Math.floorMod(task.hashCode() * 31L, 1000) / 1000.0));
    }

    @Override
    public boolean saves(String job) {
        return false;
    }

    @Override
    public boolean failsEverywhere(String job) {
        return false;
    }
}

package notchpick.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import notchpick.protocol.Json;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.NodePool;
import notchpick.scheduling.Resources;
import notchpick.simulation.InvariantChecker;
import notchpick.simulation.LoopbackAddresses;
import notchpick.simulation.SimulatedCloud;
import notchpick.simulation.SimulatedStateStore;
import notchpick.simulation.SimulatedTime;
import notchpick.simulation.SimulatedWorker;
import notchpick.simulation.WorkerEnvironment;
import notchpick.simulation.WorkerTiming;
import notchpick.transport.HttpCaller;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpHandler;
import notchpick.transport.JettyHttpCaller;
import notchpick.transport.JettyHttpServer;
import notchpick.transport.JettyHttpServer.Endpoint;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/**
 * Load test: runs one real controller against a simulated fleet on loopback, in real time, and prints the processor
 * time that the controller uses. Arguments: the number of machines (0 measures only the start), the duration of the
 * measurement in seconds, the mean run time of a task in seconds, and the command that runs the controller, without the
 * path of its settings file.
 */
public final class FleetLoad implements SimulatedWorker.JobBehavior {
    private static final WorkerTiming TIMING = new WorkerTiming(5, 30, 60);
    private static final int TASKS_PER_MACHINE = 4;
    private static final int TASKS_PER_JOB = 200;
    private static final long SUBMIT_AFTER_MS = 3000;
    private static final long WARM_UP_MS = 45_000;
    private static final long STOP_TIMEOUT_S = 30;
    /** Clock ticks per second, the unit of processor time in /proc/PID/stat. */
    private static final long TICKS_PER_S = 100;

    private final int machines;
    /** The mean run time of a task. */
    private final double taskRunS;

    private final SimulatedTime time = new SimulatedTime();
    /** Work that other threads pass to the thread of the simulation. */
    private final ConcurrentLinkedQueue<Runnable> pendingWork = new ConcurrentLinkedQueue<>();

    private final long startedAtNanos = System.nanoTime();
    private final InvariantChecker invariants = new InvariantChecker(time::nowMs, 60_000, Map.of());
    private final SimulatedStateStore stateStore = new SimulatedStateStore(time::nowMs, time::schedule, 12, 1000, 60);
    private final Resources demand = new Resources(2, 0, 4);
    private long heartbeats;
    private int jobs;

    private FleetLoad(int machines, double taskRunS) {
        this.machines = machines;
        this.taskRunS = taskRunS;
    }

    /** Runs the load test; the README describes how. */
    public static void main(String[] args) throws Exception {
        new FleetLoad(Integer.parseInt(args[0]), Double.parseDouble(args[2]))
                .run(Integer.parseInt(args[1]), new ArrayList<>(List.of(args).subList(3, args.length)));
    }

    private void run(int seconds, List<String> command) throws Exception {
        List<String> addresses = LoopbackAddresses.allocate(4);
        QueuedThreadPool threads = new QueuedThreadPool(16, 4);
        threads.start();
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
        scheduler.start();
        JettyHttpCaller httpCaller = new JettyHttpCaller(threads, scheduler, Math.max(4, 2 * machines), 2000);
        HttpCaller caller = (call, timeoutMs, then) ->
                httpCaller.call(call, timeoutMs, response -> pendingWork.add(() -> then.accept(response)));
        SimulatedCloud cloud = cloud(caller, Map.of("r-0", addresses.get(2)));
        startServer(threads, scheduler, addresses, cloud);
        Path settings = Files.createTempFile("fleet-load", ".json");
        Files.write(settings, Json.bytes(settings(addresses)));
        command.add(settings.toString());
        Process controller = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        try {
            awaitReady(caller, addresses.get(2), controller);
            if (machines > 0) {
                time.schedule(SUBMIT_AFTER_MS, () -> submit(caller, addresses.get(2)));
                measure(seconds, controller);
            }
        } finally {
            controller.destroy();
            controller.waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS);
            Files.deleteIfExists(settings);
            // Exit explicitly: the threads of the simulated servers would keep the process running.
            System.exit(0);
        }
    }

    private SimulatedCloud cloud(HttpCaller caller, Map<String, String> controllers) {
        HttpCaller countingCaller = (call, timeoutMs, then) -> {
            heartbeats++;
            caller.call(call, timeoutMs, then);
        };
        WorkerEnvironment environment = new WorkerEnvironment(
                time, invariants, this, new SimulatedWorker.Listener() {}, controllers, TIMING, new HashMap<>());
        MachineType type = new MachineType("m8", new Resources(8, 0, 32), 50, 1, 1, 0.3, 5, List.of("east", "west"));
        SimulatedCloud cloud = new SimulatedCloud(
                time::nowMs,
                time::schedule,
                Map.of(type.name(), type),
                machine -> new SimulatedWorker(machine, countingCaller, environment));
        cloud.setCapacity(new NodePool(type.name(), "east", true), machines / 2);
        cloud.setCapacity(new NodePool(type.name(), "west", true), machines - machines / 2);
        return cloud;
    }

    private void startServer(
            QueuedThreadPool threads,
            ScheduledExecutorScheduler scheduler,
            List<String> addresses,
            SimulatedCloud cloud)
            throws Exception {
        HttpHandler stateHandler = (call, reply) -> pendingWork.add(() -> stateStore.handle(call, reply));
        HttpHandler cloudHandler = (call, reply) -> pendingWork.add(() -> cloud.handle(call, reply));
        int maxConnections = Math.max(100, 2 * machines);
        new JettyHttpServer(
                        threads,
                        scheduler,
                        new ArrayByteBufferPool(),
                        List.of(
                                Endpoint.forClients(addresses.get(0), stateHandler, maxConnections, 10_000),
                                Endpoint.forClients(addresses.get(1), cloudHandler, maxConnections, 10_000)),
                        60_000)
                .start();
    }

    /** Measures the controller for some seconds after the warm-up, and prints its processor time and throughput. */
    private void measure(int seconds, Process controller) throws Exception {
        runUntil(WARM_UP_MS);
        long ticksBefore = ticks(controller);
        long heartbeatsBefore = heartbeats;
        int startsBefore = invariants.starts();
        long writesBefore = stateStore.writes();
        runUntil(WARM_UP_MS + seconds * 1000L);
        double cpuS = (ticks(controller) - ticksBefore) / (double) TICKS_PER_S;
        System.out.printf(
                "machines %d: %.3f cores, %.1f heartbeats/s, %.1f task starts/s, %.1f writes/s, "
                        + "%.3f ms of processor time per heartbeat in total%n",
                machines,
                cpuS / seconds,
                (heartbeats - heartbeatsBefore) / (double) seconds,
                (invariants.starts() - startsBefore) / (double) seconds,
                (stateStore.writes() - writesBefore) / (double) seconds,
                1000 * cpuS / (heartbeats - heartbeatsBefore));
        System.out.printf(
                "peak memory %s, threads at the end %s%n", status(controller, "VmHWM"), status(controller, "Threads"));
    }

    /** Probes the controller as the load balancer does until it is ready, and prints the processor time used so far. */
    private void awaitReady(HttpCaller caller, String address, Process controller) throws Exception {
        AtomicInteger status = new AtomicInteger();
        for (long nowMs = 0; status.get() != 200 && nowMs < 30_000; nowMs += 5) {
            caller.call(new Request(address, "GET", "/ready", null), 1000, response -> status.set(response.status()));
            runUntil((System.nanoTime() - startedAtNanos) / 1_000_000 + 5);
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
                        Files.readString(thread.resolve("schedstat")).split(" ", 2)[0]);
            }
        }
        return nanos / 1e6;
    }

    /** Runs the simulation in this thread until the time {@code endMs}, by the real clock. */
    private void runUntil(long endMs) throws InterruptedException {
        for (long nowMs = 0; nowMs < endMs; ) {
            nowMs = (System.nanoTime() - startedAtNanos) / 1_000_000;
            time.runUntil(nowMs);
            for (Runnable work = pendingWork.poll(); work != null; work = pendingWork.poll()) {
                work.run();
            }
            Thread.sleep(1);
        }
    }

    private static long ticks(Process process) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
        return Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
    }

    /** Submits jobs every second, so that twice as many tasks wait as can run at once. */
    private void submit(HttpCaller caller, String address) {
        while (jobs * TASKS_PER_JOB - invariants.starts() < machines * TASKS_PER_MACHINE * 2) {
            ObjectNode body = Json.object()
                    .put("ref", String.format("run-%06d", ++jobs))
                    .put("workclass", "c")
                    .put("ownerDesk", "a")
                    .put("jobForm", "sweep")
                    .put("urgency", "normal")
                    .put("pieces", TASKS_PER_JOB)
                    .put("cores", demand.cores())
                    .put("gpus", 0.0)
                    .put("ramGb", demand.ram())
                    .put("bundle", "img-" + jobs % 8)
                    .put("sizeGb", 1.0)
                    .put("oneZone", false)
                    .put("apart", false)
                    .put("borrowed", true)
                    .put("expectedS", taskRunS)
                    .put("bookmarkS", 0.0)
                    .put("bookmarkWriteS", 0.0);
            caller.call(new Request(address, "POST", "/submissions", Json.bytes(body)), 5000, response -> {});
        }
        time.schedule(1000, () -> submit(caller, address));
    }

    private static ObjectNode settings(List<String> addresses) {
        ObjectNode root = Json.object()
                .put("node", "r-0")
                .put("location", "east")
                .put("serve_on", addresses.get(2))
                .put("peer_bind", addresses.get(3));
        root.putArray("known");
        root.putObject("outside").put("cloud", addresses.get(1)).put("state", addresses.get(0));
        ObjectNode deployment = root.putObject("deployment");
        deployment.putArray("zones").add("east").add("west");
        deployment.putArray("teams").addObject().put("name", "a");
        deployment
                .putObject("workers")
                .put("report_s", TIMING.heartbeatPeriodS())
                .put("lease_s", TIMING.leaseS())
                .put("cancel_s", TIMING.cancelTimeoutS());
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
        return (long) (taskRunS * 1000 * (0.5 + Math.floorMod(task.hashCode() * 31L, 1000) / 1000.0));
    }

    @Override
    public boolean savesCheckpoints(String job) {
        return false;
    }

    @Override
    public boolean fails(String job) {
        return false;
    }
}

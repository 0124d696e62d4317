package notchpick.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import notchpick.coordination.Deployment;
import notchpick.coordination.Deployment.Peer;
import notchpick.protocol.Json;
import notchpick.simulation.ControllerRunner;
import notchpick.simulation.LoopbackAddresses;
import notchpick.simulation.SimulatedNetwork;
import notchpick.simulation.SimulatedTime;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpHandler;
import notchpick.transport.JettyHttpCaller;
import notchpick.transport.JettyHttpServer;
import notchpick.transport.JettyHttpServer.Endpoint;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/**
 * Runs controllers as real processes. Each process sends all its requests to loopback addresses of its own, from which
 * they pass through the simulated network to their target, and all requests to it come out of the simulated network.
 * So the network's cuts and delays apply to every message.
 */
public final class ProcessControllers implements ControllerRunner, AutoCloseable {
    private static final int THREADS = 120;
    private static final int MAX_CONNECTIONS = 2000;
    private static final long CONNECT_TIMEOUT_MS = 1000;
    private static final long IDLE_TIMEOUT_MS = 90_000;
    /** Longer than every request timeout of a controller, including the longest watch. */
    private static final long MAX_CALL_MS = 70_000;
    /** What a controller takes for an answer that tells nothing, as if there had been none. */
    private static final int NO_ANSWER_STATUS = 504;

    /** The loopback addresses of one controller. */
    private record Ports(String clients, String peers, Map<String, String> outgoing) {}

    private final SimulatedTime time;
    private final SimulatedNetwork network;
    private final WorkQueue work;
    private final String host;
    private final Path logDirectory;
    private final List<String> command;
    private final QueuedThreadPool threads = new QueuedThreadPool(THREADS, 2);
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
    private final JettyHttpCaller caller;
    /**
     * Held while a process is forked, and while addresses are allocated and opened. A new process has copies of all open
     * sockets for a moment, so that an address which is closed meanwhile could not be opened again.
     */
    private static final Object FORK_LOCK = new Object();

    /** All allocated addresses: a controller that is still starting has not opened its own yet. */
    private final Set<String> reserved = new HashSet<>();

    private final Map<String, Ports> ports = new HashMap<>();
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    private final Map<String, BooleanSupplier> alive = new HashMap<>();
    private final List<JettyHttpServer> servers = new ArrayList<>();

    /**
     * @param host a loopback address that nobody else uses
     * @param logDirectory gets one log file for each controller; must exist and be empty
     */
    public ProcessControllers(
            SimulatedTime time, SimulatedNetwork network, WorkQueue work, String host, Path logDirectory)
            throws Exception {
        this.time = time;
        this.network = network;
        this.work = work;
        this.host = host;
        this.logDirectory = logDirectory;
        this.command = ControllerCommand.read();
        threads.start();
        scheduler.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        caller = new JettyHttpCaller(threads, scheduler, MAX_CONNECTIONS, CONNECT_TIMEOUT_MS);
    }

    @Override
    public Started start(ProcessStart start) {
        Ports own;
        synchronized (FORK_LOCK) {
            own = ports.computeIfAbsent(start.node(), node -> openPorts(start));
        }
        alive.put(start.node(), start.isAlive());
        try {
            Path settings = logDirectory.resolve(start.node() + ".json");
            Files.write(
                    settings,
                    Json.bytes(ProcessSettings.of(start.deployment(), own.clients(), own.peers(), own.outgoing())));
            List<String> arguments = new ArrayList<>(command);
            arguments.add(settings.toString());
            ProcessBuilder builder = new ProcessBuilder(arguments)
                    .redirectErrorStream(true)
                    .redirectOutput(
                            ProcessBuilder.Redirect.appendTo(log(start.node()).toFile()));
            builder.environment().put("LOG_LEVEL", "info");
            Process previous = processes.remove(start.node());
            if (previous != null) {
                previous.destroyForcibly().onExit().join();
            }
            synchronized (FORK_LOCK) {
                processes.put(start.node(), builder.start());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new Started(forwardTo(own.clients()), forwardTo(own.peers()));
    }

    private Path log(String node) {
        return logDirectory.resolve(node + ".log");
    }

    /** Opens the addresses to which the controller sends its requests, and reserves those that it serves. */
    private Ports openPorts(ProcessStart start) {
        Deployment deployment = start.deployment();
        List<String> targets = new ArrayList<>(List.of(deployment.stateStoreAddress(), deployment.cloudAddress()));
        deployment.peers().stream().map(Peer::address).forEach(targets::add);
        try {
            List<String> free = LoopbackAddresses.allocate(host, targets.size() + 2, reserved);
            reserved.addAll(free);
            Map<String, String> outgoing = new HashMap<>();
            List<Endpoint> endpoints = new ArrayList<>();
            for (int i = 0; i < targets.size(); i++) {
                outgoing.put(targets.get(i), free.get(i));
                endpoints.add(Endpoint.forPeers(free.get(i), sendFrom(start.node(), targets.get(i))));
            }
            JettyHttpServer server =
                    new JettyHttpServer(threads, scheduler, new ArrayByteBufferPool(), endpoints, IDLE_TIMEOUT_MS);
            server.start();
            servers.add(server);
            return new Ports(free.get(targets.size()), free.get(targets.size() + 1), outgoing);
        } catch (Exception e) {
            throw new IllegalStateException("no loopback addresses for " + start.node(), e);
        }
    }

    /** Passes a request of the controller to the simulated network. */
    private HttpHandler sendFrom(String node, String target) {
        return (request, reply) -> work.add(() -> {
            BooleanSupplier isAlive = alive.get(node);
            network.callerOf(node, isAlive)
                    .call(
                            new Request(target, request.method(), request.path(), request.body()),
                            MAX_CALL_MS,
                            response -> reply.accept(
                                    response.isUnanswered() ? Response.empty(NO_ANSWER_STATUS) : response));
        });
    }

    /** Passes a request from the simulated network to the process. */
    private HttpHandler forwardTo(String address) {
        return (request, reply) -> caller.call(
                new Request(address, request.method(), request.path(), request.body()),
                MAX_CALL_MS,
                response -> work.add(() -> {
                    // Without an answer, the sender waits until its own time-out.
                    if (!response.isUnanswered()) {
                        reply.accept(response);
                    }
                }));
    }

    @Override
    public void kill(String node) {
        processes.get(node).destroyForcibly();
    }

    private void killAll() {
        processes.values().forEach(Process::destroyForcibly);
    }

    @Override
    public void pause(String node, long durationMs) {
        Process process = processes.get(node);
        signal(process, "STOP");
        time.schedule(durationMs, () -> signal(process, "CONT"));
    }

    private static void signal(Process process, String signal) {
        if (!process.isAlive()) {
            return;
        }
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public long withheldStarts() {
        return countLogLines("start withheld:");
    }

    @Override
    public long withdrawnLaunches() {
        return countLogLines("launch withdrawn:");
    }

    /** How many lines of the controllers' logs contain the text. */
    long countLogLines(String text) {
        long count = 0;
        for (String node : ports.keySet()) {
            try (Stream<String> lines = Files.lines(log(node), StandardCharsets.UTF_8)) {
                count += lines.filter(line -> line.contains(text)).count();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        return count;
    }

    @Override
    public void close() {
        killAll();
        caller.close();
        servers.forEach(JettyHttpServer::close);
        LifeCycle.stop(threads);
        LifeCycle.stop(scheduler);
    }
}

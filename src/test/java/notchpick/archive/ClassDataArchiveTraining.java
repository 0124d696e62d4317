package notchpick.archive;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import notchpick.protocol.Json;
import notchpick.protocol.PeerProtocol;
import notchpick.protocol.peer.Grant;
import notchpick.protocol.peer.LinkTable;
import notchpick.protocol.peer.Pulse;
import notchpick.protocol.peer.ReportBatch;
import notchpick.protocol.peer.Room;
import notchpick.protocol.peer.StateCall;
import notchpick.protocol.peer.Want;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.NodePool;
import notchpick.scheduling.Resources;
import notchpick.simulation.LoopbackAddresses;
import notchpick.simulation.SimulatedCloud;
import notchpick.simulation.SimulatedStateStore;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpHandler;
import notchpick.transport.JettyHttpServer;
import notchpick.transport.JettyHttpServer.Endpoint;
import notchpick.transport.Timer;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/**
 * The training run for the JVM's class data archive. Runs a real controller against simulated dependencies on loopback
 * and sends it the usual requests, so that the JVM archives the classes that they load; with the archive, a controller
 * starts much faster. The arguments are the command that runs the controller, without the path of its settings file.
 */
public final class ClassDataArchiveTraining {
    private static final HttpClient HTTP =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();
    private static final long STOP_TIMEOUT_S = 30;

    /** The addresses of the simulated servers and of the controller. */
    private record Addresses(String stateStore, String cloud, String users, String peers, String otherController) {
        static Addresses allocate() throws IOException {
            List<String> free = LoopbackAddresses.allocate(5);
            return new Addresses(free.get(0), free.get(1), free.get(2), free.get(3), free.get(4));
        }
    }

    private ClassDataArchiveTraining() {}

    /** Runs the training; exits with 1, which fails the build, if the controller does not reply as expected. */
    public static void main(String[] args) throws Exception {
        Addresses addresses = Addresses.allocate();
        startServer(addresses);
        Path settings = Files.createTempFile("training", ".json");
        Files.write(settings, Json.bytes(settings(addresses)));
        List<String> command = new ArrayList<>(List.of(args));
        command.add(settings.toString());
        Process controller = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        int exitStatus = 0;
        try {
            exchangeMessages("http://" + addresses.users(), "http://" + addresses.peers());
        } catch (IllegalStateException e) {
            System.err.println("class data archive training: " + e.getMessage());
            exitStatus = 1;
        } finally {
            controller.destroy();
            controller.waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS);
            Files.deleteIfExists(settings);
        }
        // Exit explicitly: the threads of the simulated servers would keep the process running.
        System.exit(exitStatus);
    }

    /** Serves a simulated state store, a simulated cloud and a peer that replies to every message with a heartbeat. */
    private static void startServer(Addresses addresses) throws Exception {
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
        Timer timer = (delayMs, work) -> {
            var unused = executor.schedule(work, Math.max(0, delayMs), TimeUnit.MILLISECONDS);
        };
        SimulatedStateStore stateStore = new SimulatedStateStore(System::currentTimeMillis, timer, 12, 300, 100);
        MachineType type = new MachineType("m8", new Resources(8, 0, 32), 50, 1, 1, 0.3, 1, List.of("east"));
        SimulatedCloud cloud =
                new SimulatedCloud(System::currentTimeMillis, timer, Map.of(type.name(), type), machine -> {});
        cloud.setCapacity(new NodePool(type.name(), "east", true), 4);
        HttpHandler stateHandler = (call, reply) -> executor.execute(() -> stateStore.handle(call, reply));
        HttpHandler cloudHandler = (call, reply) -> executor.execute(() -> cloud.handle(call, reply));
        HttpHandler peerHandler =
                (call, reply) -> reply.accept(Response.of(200, PeerProtocol.encode(heartbeatOfPeer())));
        QueuedThreadPool threads = new QueuedThreadPool(8, 2);
        threads.start();
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
        scheduler.start();
        List<Endpoint> endpoints = List.of(
                Endpoint.forClients(addresses.stateStore(), stateHandler, 1000, 2000),
                Endpoint.forClients(addresses.cloud(), cloudHandler, 1000, 2000),
                Endpoint.forClients(addresses.otherController(), peerHandler, 1000, 2000));
        new JettyHttpServer(threads, scheduler, new ArrayByteBufferPool(), endpoints, 30_000).start();
    }

    private static ObjectNode settings(Addresses addresses) {
        ObjectNode root = Json.object()
                .put("node", "r-0")
                .put("location", "east")
                .put("serve_on", addresses.users())
                .put("peer_bind", addresses.peers());
        root.putArray("known")
                .addObject()
                .put("node", "r-1")
                .put("location", "east")
                .put("addr", addresses.otherController());
        root.putObject("outside").put("cloud", addresses.cloud()).put("state", addresses.stateStore());
        ObjectNode deployment = root.putObject("deployment");
        deployment.putArray("zones").add("east");
        deployment.putArray("teams").addObject().put("name", "a");
        deployment.putObject("workers").put("report_s", 1.0).put("lease_s", 8.0).put("cancel_s", 20.0);
        deployment
                .putObject("state")
                .put("rps", 500.0)
                .put("write_rps", 100.0)
                .put("value_kb", 16.0)
                .put("txn_ops", 12);
        deployment.putObject("cloud").put("rps", 5.0).put("list_lag_s", 1.0);
        deployment.putObject("machine_limits").put("fd_limit", 500);
        return root;
    }

    private static Pulse heartbeatOfPeer() {
        return new Pulse("r-1", 0L, null, true, 0, List.of());
    }

    private static int call(String method, String url, byte[] body) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create(url))
                .timeout(Duration.ofSeconds(5))
                .method(method, body == null ? BodyPublishers.noBody() : BodyPublishers.ofByteArray(body))
                .build();
        try {
            return HTTP.send(request, BodyHandlers.ofByteArray()).statusCode();
        } catch (IOException e) {
            return 0;
        }
    }

    private static void awaitStatus(int status, String method, String url, byte[] body) throws InterruptedException {
        for (int i = 0; i < 200; i++) {
            if (call(method, url, body) == status) {
                return;
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException(method + " " + url + " never returned status " + status);
    }

    private static void exchangeMessages(String users, String peers) throws InterruptedException {
        awaitStatus(200, "GET", users + "/ready", null);
        submitJobs(users);
        sendHeartbeats(users);
        exchangePeerMessages(peers);
        awaitStatus(200, "POST", users + "/submissions/run-000001/abort", new byte[0]);
        call("GET", users + "/submissions/run-000003", null);
        call("GET", users + "/submissions/run-999999", null);
    }

    private static void submitJobs(String users) throws InterruptedException {
        ObjectNode job = job("run-000001");
        awaitStatus(201, "POST", users + "/submissions", Json.bytes(job));
        awaitStatus(200, "POST", users + "/submissions", Json.bytes(job));
        call("POST", users + "/submissions", Json.bytes(Json.object().put("ref", "run-000002")));
        ObjectNode dependent = job("run-000003");
        dependent.putArray("waitsOn").add("run-000001");
        awaitStatus(201, "POST", users + "/submissions", Json.bytes(dependent));
    }

    private static ObjectNode job(String id) {
        return Json.object()
                .put("ref", id)
                .put("workclass", "c")
                .put("ownerDesk", "a")
                .put("jobForm", "sweep")
                .put("urgency", "high")
                .put("pieces", 4)
                .put("cores", 2.0)
                .put("gpus", 0.0)
                .put("ramGb", 2.0)
                .put("bundle", "i")
                .put("sizeGb", 1.0)
                .put("oneZone", false)
                .put("apart", false)
                .put("borrowed", true)
                .put("expectedS", 10.0)
                .put("bookmarkS", 0.0)
                .put("bookmarkWriteS", 0.0)
                .put("dueS", 100.0);
    }

    /** Sends the heartbeats of a machine on which a task starts, runs and completes. */
    private static void sendHeartbeats(String users) throws InterruptedException {
        awaitStatus(200, "POST", users + "/hello", heartbeat(0, 0, null));
        for (int i = 1; i < 12; i++) {
            String taskState = i < 4 ? null : i < 8 ? "running" : "exited";
            call("POST", users + "/hello", heartbeat(i, 1, taskState));
            call("GET", users + "/submissions/run-000001", null);
        }
    }

    private static void exchangePeerMessages(String peers) throws InterruptedException {
        Grant grant = new Grant(
                1L,
                1L,
                "a",
                400L,
                List.of(new Room("m-000000", "m8", "east", true, 8.0, 0.0, 32.0, List.of("i"))),
                List.of(new Want("run-000001", 1.0, 0.0, 1.0, "i", null, null, true, Map.of(), List.of(0))));
        ReportBatch batch = new ReportBatch(3000L, List.of(ByteBuffer.wrap(heartbeat(100, 1, null))));
        awaitAccepted(peers, PeerProtocol.encode(grant));
        awaitAccepted(peers, PeerProtocol.encode(heartbeatOfPeer()));
        awaitAccepted(peers, PeerProtocol.encode(new LinkTable("r-1", 0L, null, null, 0L, List.of())));
        awaitAccepted(peers, PeerProtocol.encode(new StateCall("GET", "/keys/term", null, 1000L)));
        awaitAccepted(peers, PeerProtocol.encode(batch));
    }

    private static void awaitAccepted(String peers, byte[] message) throws InterruptedException {
        awaitStatus(200, "POST", peers + PeerProtocol.PATH, message);
    }

    private static byte[] heartbeat(int sequence, long token, String state) {
        ObjectNode body = Json.object()
                .put("box", "m-000000")
                .put("address", "10.1.0.1:9000")
                .put("boxKind", "m8")
                .put("site", "east")
                .put("borrowed", true)
                .put("shift", 1)
                .put("tally", sequence)
                .put("mandate", token);
        ArrayNode pieces = body.putArray("pieces");
        if (state != null) {
            pieces.addObject()
                    .put("piece", "run-000001/0")
                    .put("tryNo", 1L << 24 | 1)
                    .put("status", state)
                    .put("exitCause", state.equals("exited") ? "done" : null);
        }
        return Json.bytes(body);
    }
}

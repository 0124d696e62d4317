package notchpick.archive;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ServerSocket;
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
import notchpick.simulation.SimulatedCloud;
import notchpick.simulation.SimulatedStateStore;
import notchpick.transport.HttpHandler;
import notchpick.transport.JettyHttpServer;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/**
 * Lets a real controller play through a minute's work among stand-ins on loopback, so that the JVM
 * can archive the classes that this takes: a controller that starts anew is then up much sooner. The
 * arguments are the command that runs the controller, but for its settings file.
 */
public final class ClassDataArchiveTraining {
    private static final HttpClient HTTP =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

    private ClassDataArchiveTraining() {}

    /** Plays; a controller that does not come up fails the build. */
    public static void main(String[] args) throws Exception {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        SimulatedStateStore state = new SimulatedStateStore(
                System::currentTimeMillis,
                (delayMs, work) -> timer.schedule(work, Math.max(0, delayMs), TimeUnit.MILLISECONDS),
                12,
                300,
                100);
        MachineType type = new MachineType("m8", new Resources(8, 0, 32), 50, 1, 1, 0.3, 1, List.of("east"));
        SimulatedCloud cloud = new SimulatedCloud(
                System::currentTimeMillis,
                (delayMs, work) -> timer.schedule(work, Math.max(0, delayMs), TimeUnit.MILLISECONDS),
                Map.of("m8", type),
                rented -> {},
                name -> {});
        cloud.capacity(new NodePool("m8", "east", true), 4);
        HttpHandler stateInTurn = (call, reply) -> timer.execute(() -> state.handle(call, reply));
        HttpHandler cloudInTurn = (call, reply) -> timer.execute(() -> cloud.handle(call, reply));
        List<String> ports = freeAddresses(5);
        QueuedThreadPool threads = new QueuedThreadPool(8, 2);
        threads.start();
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
        scheduler.start();
        JettyHttpServer server = new JettyHttpServer(
                threads,
                scheduler,
                new ArrayByteBufferPool(),
                Map.of(
                        ports.get(0),
                        stateInTurn,
                        ports.get(1),
                        cloudInTurn,
                        ports.get(4),
                        (call, reply) -> reply.accept(
                                new notchpick.transport.HttpCaller.Response(200, PeerProtocol.bytes(pulse())))),
                "",
                30_000,
                1000,
                2000);
        server.start();
        Path settings = Files.createTempFile("rehearsal", ".json");
        Files.write(settings, Json.bytes(settings(ports)));
        List<String> command = new ArrayList<>(List.of(args));
        command.add(settings.toString());
        Process controller = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        try {
            play("http://" + ports.get(2), "http://" + ports.get(3));
        } catch (IllegalStateException e) {
            System.err.println("rehearsal: " + e.getMessage());
            // The stand-ins' threads must not hold the build up.
            controller.destroy();
            System.exit(1);
        } finally {
            controller.destroy();
            controller.waitFor(30, TimeUnit.SECONDS);
            Files.deleteIfExists(settings);
        }
        System.exit(0);
    }

    private static List<String> freeAddresses(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0);
            sockets.add(socket);
            addresses.add("127.0.0.1:" + socket.getLocalPort());
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return addresses;
    }

    private static ObjectNode settings(List<String> ports) {
        ObjectNode root = Json.object()
                .put("node", "r-0")
                .put("location", "east")
                .put("serve_on", ports.get(2))
                .put("peer_bind", ports.get(3));
        root.putArray("known")
                .addObject()
                .put("node", "r-1")
                .put("location", "east")
                .put("addr", ports.get(4));
        root.putObject("outside").put("cloud", ports.get(1)).put("state", ports.get(0));
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

    private static Pulse pulse() {
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

    private static void until(int status, String method, String url, byte[] body) throws InterruptedException {
        for (int i = 0; i < 200; i++) {
            if (call(method, url, body) == status) {
                return;
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException(method + " " + url + " never gave " + status);
    }

    private static void play(String users, String peers) throws InterruptedException {
        until(200, "GET", users + "/ready", null);
        ObjectNode job = Json.object()
                .put("ref", "run-000001")
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
        until(201, "POST", users + "/submissions", Json.bytes(job));
        until(200, "POST", users + "/submissions", Json.bytes(job));
        call("POST", users + "/submissions", Json.bytes(Json.object().put("ref", "run-000002")));
        ObjectNode next = job.deepCopy().put("ref", "run-000003");
        next.putArray("waitsOn").add("run-000001");
        until(201, "POST", users + "/submissions", Json.bytes(next));
        until(200, "POST", users + "/hello", report(0, 0, null));
        for (int i = 1; i < 12; i++) {
            call("POST", users + "/hello", report(i, 1, i < 4 ? null : i < 8 ? "running" : "exited"));
            call("GET", users + "/submissions/run-000001", null);
        }
        Grant grant = new Grant(
                1L,
                1L,
                "a",
                400L,
                List.of(new Room("m-000000", "m8", "east", true, 8.0, 0.0, 32.0, List.of("i"))),
                List.of(new Want("run-000001", 1.0, 0.0, 1.0, "i", null, null, true, Map.of(), List.of(0))));
        until(200, "POST", peers + PeerProtocol.PATH, PeerProtocol.bytes(grant));
        until(200, "POST", peers + PeerProtocol.PATH, PeerProtocol.bytes(pulse()));
        until(
                200,
                "POST",
                peers + PeerProtocol.PATH,
                PeerProtocol.bytes(new LinkTable("r-1", 0L, null, null, 0L, List.of())));
        until(
                200,
                "POST",
                peers + PeerProtocol.PATH,
                PeerProtocol.bytes(new StateCall("GET", "/keys/term", null, 1000L)));
        until(
                200,
                "POST",
                peers + PeerProtocol.PATH,
                PeerProtocol.bytes(new ReportBatch(3000L, List.of(ByteBuffer.wrap(report(100, 1, null))))));
        until(200, "POST", users + "/submissions/run-000001/abort", new byte[0]);
        call("GET", users + "/submissions/run-000003", null);
        call("GET", users + "/submissions/run-999999", null);
    }

    private static byte[] report(int sequence, long token, String state) {
        ObjectNode body = Json.object()
                .put("box", "m-000000")
                .put("address", "10.1.0.1:9000")
                .put("boxKind", "m8")
                .put("site", "east")
                .put("borrowed", true)
                .put("shift", 1)
                .put("tally", sequence)
                .put("mandate", token);
        var pieces = body.putArray("pieces");
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

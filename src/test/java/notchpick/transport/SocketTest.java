package notchpick.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the server and the client over real sockets. */
class SocketTest {
    private static final int MAX_CONNECTIONS = 20;
    private final HoldingThreadPool threads = new HoldingThreadPool();
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
    private String address;
    private JettyHttpServer server;
    private JettyHttpCaller caller;

    /** A thread pool that can delay work, as it happens on a machine with busy processors. */
    private static final class HoldingThreadPool extends QueuedThreadPool {
        private final List<Runnable> held = new ArrayList<>();
        private final Semaphore heldCount = new Semaphore(0);
        private boolean holding;

        HoldingThreadPool() {
            super(8, 2);
        }

        @Override
        public void execute(Runnable job) {
            synchronized (held) {
                if (holding) {
                    held.add(job);
                    heldCount.release();
                    return;
                }
            }
            super.execute(job);
        }

        private void hold() {
            synchronized (held) {
                holding = true;
            }
        }

        private void release() {
            synchronized (held) {
                holding = false;
                held.forEach(super::execute);
                held.clear();
            }
        }
    }

    @BeforeEach
    void start() throws Exception {
        try (ServerSocket socket = new ServerSocket(0)) {
            address = "127.0.0.1:" + socket.getLocalPort();
        }
        threads.start();
        scheduler.start();
        HttpHandler echo = (call, reply) -> {
            if (call.path().equals("/never")) {
                return;
            }
            if (call.path().equals("/last")) {
                reply.accept(Response.empty(503).closingConnection());
                return;
            }
            if (call.path().equals("/broken")) {
                throw new IllegalStateException("broken");
            }
            byte[] body = call.body().length > 0
                    ? call.body()
                    : (call.method() + " " + call.path()).getBytes(StandardCharsets.UTF_8);
            reply.accept(Response.of(201, body));
        };
        server = new JettyHttpServer(
                threads,
                scheduler,
                new ArrayByteBufferPool(),
                List.of(JettyHttpServer.Endpoint.forClients(address, echo, MAX_CONNECTIONS, 500)),
                30_000);
        server.start();
        caller = new JettyHttpCaller(threads, scheduler, 4, 1000);
    }

    /** At the limit, idle connections must be closed, or else many idle clients would keep all others out. */
    @Test
    void closesIdleConnectionsAtTheLimit() throws Exception {
        ExecutorService reading = Executors.newCachedThreadPool();
        List<Socket> idle = new ArrayList<>();
        int colon = address.lastIndexOf(':');
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            idle.add(new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
        }
        // All connections are in use. Without the shorter timeout at the limit they would stay open for 30 s.
        List<CompletableFuture<Integer>> ends = idle.stream()
                .map(socket -> CompletableFuture.supplyAsync(
                        () -> {
                            try {
                                return socket.getInputStream().read();
                            } catch (IOException e) {
                                return -1;
                            }
                        },
                        reading))
                .toList();
        assertEquals(
                -1,
                CompletableFuture.anyOf(ends.toArray(new CompletableFuture<?>[0]))
                        .get(20, TimeUnit.SECONDS));
        assertEquals(201, call("POST", "/x", new byte[10], 20_000).status());
        for (Socket socket : idle) {
            socket.close();
        }
        reading.shutdown();
    }

    /**
     * The selector accepts connections in its own thread and opens each in another, so that the limit can be reached
     * while none is open: each must get the shorter idle timeout when it opens.
     */
    @Test
    void closesIdleConnectionsThatOpenAfterTheLimitIsReached() throws Exception {
        ExecutorService readers = Executors.newCachedThreadPool();
        List<Socket> idle = new ArrayList<>();
        int colon = address.lastIndexOf(':');
        threads.hold();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            idle.add(new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
        }
        assertTrue(threads.heldCount.tryAcquire(MAX_CONNECTIONS, 20, TimeUnit.SECONDS));
        threads.release();
        CompletableFuture<?>[] ends = idle.stream()
                .map(socket -> CompletableFuture.supplyAsync(() -> readByte(socket), readers))
                .toArray(CompletableFuture<?>[]::new);
        assertEquals(-1, CompletableFuture.anyOf(ends).get(20, TimeUnit.SECONDS));
        for (Socket socket : idle) {
            socket.close();
        }
        readers.shutdown();
    }

    private static int readByte(Socket socket) {
        try {
            return socket.getInputStream().read();
        } catch (IOException e) {
            return -1;
        }
    }

    @Test
    void closesTheConnectionAfterAClosingResponse() throws Exception {
        Socket socket = new Socket(
                InetAddress.getLoopbackAddress(), Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)));
        socket.setSoTimeout(20_000);
        socket.getOutputStream().write("GET /last HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        String all = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(all.startsWith("HTTP/1.1 503") && all.contains("Connection: close"), all);
        socket.close();
    }

    @AfterEach
    void stop() throws Exception {
        caller.close();
        server.close();
        scheduler.stop();
        threads.stop();
    }

    private Response call(String method, String path, byte[] body, long timeoutMs) throws Exception {
        CompletableFuture<Response> answer = new CompletableFuture<>();
        caller.call(new Request(address, method, path, body), timeoutMs, answer::complete);
        return answer.get(30, TimeUnit.SECONDS);
    }

    @Test
    void carriesMethodPathAndBody() throws Exception {
        Response answer = call("GET", "/a/b?c=d", null, 20_000);
        assertEquals(201, answer.status());
        assertEquals("GET /a/b?c=d", new String(answer.body(), StandardCharsets.UTF_8));
        byte[] body = new byte[60_000];
        body[5] = 7;
        assertArrayEquals(body, call("POST", "/x", body, 20_000).body());
    }

    @Test
    void refusesBodiesOverTheLimit() throws Exception {
        assertEquals(400, call("POST", "/x", new byte[70_000], 20_000).status());
        assertEquals(201, call("POST", "/x", new byte[60_000], 20_000).status());
    }

    @Test
    void distinguishesTimeoutFromRefusedConnection() throws Exception {
        assertEquals(Response.UNANSWERED, call("GET", "/never", null, 200));
        address = "127.0.0.1:1";
        assertEquals(Response.CONNECTION_REFUSED, call("GET", "/x", null, 2000));
        assertTrue(Response.UNANSWERED.isUnanswered() && Response.CONNECTION_REFUSED.isUnanswered());
    }

    @Test
    void handlerExceptionFailsOnlyItsRequest() throws Exception {
        assertEquals(500, call("GET", "/broken", null, 20_000).status());
        assertEquals(201, call("GET", "/x", null, 20_000).status());
    }
}

package notchpick.app;

import java.util.List;
import java.util.Random;
import notchpick.coordination.Deployment;
import notchpick.coordination.Tuning;
import notchpick.transport.JettyHttpCaller;
import notchpick.transport.JettyHttpServer;
import notchpick.transport.JettyHttpServer.Endpoint;
import notchpick.transport.SerialEventLoop;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/** Serves one controller over HTTP. The threads, connections and timers are kept until the process ends. */
final class ControllerServer {
    private static final long CONNECT_TIMEOUT_MS = 1000;
    private static final int CONNECTIONS_PER_TARGET = 16;
    private static final int MIN_THREADS = 4;
    private static final int MAX_THREADS = 16;
    private static final int THREAD_IDLE_TIMEOUT_MS = 60_000;
    /** How long an idle connection stays open, in worker leases. */
    private static final int IDLE_TIMEOUT_LEASES = 4;
    /** How long an idle connection stays open near the connection limit, in heartbeat periods. */
    private static final int CROWDED_IDLE_TIMEOUT_PERIODS = 2;

    private ControllerServer() {}

    /** Starts the controller and its HTTP server; returns once connections are accepted. */
    static void start(Deployment deployment, Tuning tuning) throws Exception {
        QueuedThreadPool threads = threads();
        threads.start();
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("timer", false);
        scheduler.start();
        JettyHttpCaller caller = new JettyHttpCaller(threads, scheduler, CONNECTIONS_PER_TARGET, CONNECT_TIMEOUT_MS);
        Controller controller = new Controller(new SerialEventLoop(), deployment, tuning, caller, new Random());
        JettyHttpServer server = new JettyHttpServer(
                threads,
                scheduler,
                new ArrayByteBufferPool(),
                List.of(
                        Endpoint.forClients(
                                deployment.clientBindAddress(),
                                controller::serve,
                                deployment.maxClientConnections(),
                                CROWDED_IDLE_TIMEOUT_PERIODS * deployment.heartbeatPeriodMs()),
                        Endpoint.forPeers(deployment.peerBindAddress(), controller::servePeer)),
                IDLE_TIMEOUT_LEASES * deployment.workerLeaseMs());
        controller.tell(new Controller.Begin());
        server.start();
    }

    /**
     * Creates the thread pool with a thread factory of its own: Jetty's default factory looks up the security manager,
     * which takes a tenth of the start-up time.
     */
    private static QueuedThreadPool threads() {
        return new QueuedThreadPool(
                MAX_THREADS, MIN_THREADS, THREAD_IDLE_TIMEOUT_MS, -1, null, null, work -> new Thread(work, "jetty"));
    }
}

package notchpick.app;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import notchpick.coordination.Deployment;
import notchpick.coordination.Tuning;
import notchpick.transport.HttpHandler;
import notchpick.transport.JettyHttpCaller;
import notchpick.transport.JettyHttpServer;
import notchpick.transport.SerialEventLoop;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;

/** The command line. */
@Command(
        name = "notchpick",
        mixinStandardHelpOptions = true,
        version = "notchpick 0.1.0",
        description = "Runs one controller of a cluster scheduler, until it is killed.",
        footer = {
            "",
            "Limits that deployment.state.next announces in the settings are kept to from the start.",
            "Logs go to standard error; LOG_LEVEL is one of error, info (default), debug."
        })
public final class Main implements Callable<Integer> {
    private static final long CONNECT_TIMEOUT_MS = 1000;
    private static final int CONNECTIONS_PER_TARGET = 16;
    private static final int THREADS = 16;
    private static final int IDLE_THREAD_MS = 60_000;
    /** An idle connection is closed after so many worker leases. */
    private static final int IDLE_LEASES = 4;
    /** Where connections run short, an idle one is closed after so many heartbeat periods. */
    private static final int CROWDED_IDLE_PERIODS = 2;

    @Option(
            names = "--config",
            required = true,
            scope = ScopeType.INHERIT,
            paramLabel = "FILE",
            description = "the platform's settings (JSON)")
    private Path config;

    @Option(
            names = "--tuning",
            scope = ScopeType.INHERIT,
            paramLabel = "FILE",
            description = "the operators' own settings (JSON)")
    private Path tuning;

    /** Runs the command and ends the process if it has failed or has nothing more to do. */
    public static void main(String[] args) {
        String level = System.getenv().getOrDefault("LOG_LEVEL", "info").toLowerCase(Locale.ROOT);
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
        System.setProperty("org.slf4j.simpleLogger.log.org.eclipse.jetty", "error");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        int status = args.length == 2 && args[0].equals("--config")
                // The platform's own call: a parser would take a third of the time in which users wait.
                ? run(Path.of(args[1]), null, false)
                : new CommandLine(new Main()).execute(args);
        if (status >= 0) {
            System.exit(status);
        }
    }

    private static final int RUNNING = -1;

    @Override
    public Integer call() {
        return run(config, tuning, false);
    }

    @Command(description = "Checks both files and ends without starting.", mixinStandardHelpOptions = true)
    int check() {
        return run(config, tuning, true);
    }

    /** Prints how the links of all controllers are. */
    @Command(
            description = "Asks all controllers of the deployment how their links are, and prints that; status 1 "
                    + "if none answered.",
            mixinStandardHelpOptions = true)
    int status() throws Exception {
        Deployment deployment;
        try {
            deployment = Settings.read(config);
        } catch (Settings.Unusable e) {
            System.err.println("notchpick: " + e.getMessage());
            return 2;
        }
        QueuedThreadPool threads = new QueuedThreadPool(THREADS, 2);
        threads.start();
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("timer", true);
        scheduler.start();
        JettyHttpCaller caller = new JettyHttpCaller(threads, scheduler, 1, CONNECT_TIMEOUT_MS);
        List<LinkStatusCommand.Asked> all = LinkStatusCommand.ask(deployment, caller);
        all.forEach(asked -> System.out.print(LinkStatusCommand.text(asked)));
        caller.stop();
        scheduler.stop();
        threads.stop();
        return all.stream().allMatch(asked -> asked.answer().isNone()) ? 1 : 0;
    }

    private static int run(Path config, Path tuning, boolean check) {
        Deployment deployment;
        Tuning tuned;
        try {
            deployment = Settings.read(config);
            tuned = tuning == null ? Tuning.DEFAULT : TuningFile.read(tuning);
        } catch (Settings.Unusable e) {
            System.err.println("notchpick: " + e.getMessage());
            return 2;
        }
        if (check) {
            return 0;
        }
        try {
            serve(deployment, tuned);
        } catch (Exception e) {
            System.err.println("notchpick: can't serve: " + e.getMessage());
            return 1;
        }
        return RUNNING;
    }

    private static void serve(Deployment deployment, Tuning tuned) throws Exception {
        // Jetty's own way to make threads looks for a security manager, which takes a tenth of the start.
        QueuedThreadPool threads =
                new QueuedThreadPool(THREADS, 4, IDLE_THREAD_MS, -1, null, null, work -> new Thread(work, "jetty"));
        threads.start();
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("timer", false);
        scheduler.start();
        JettyHttpCaller caller = new JettyHttpCaller(threads, scheduler, CONNECTIONS_PER_TARGET, CONNECT_TIMEOUT_MS);
        Controller controller = new Controller(new SerialEventLoop(), deployment, tuned, caller, new Random());
        HttpHandler outside = controller::serve;
        HttpHandler peers = controller::servePeer;
        JettyHttpServer server = new JettyHttpServer(
                threads,
                scheduler,
                new ArrayByteBufferPool(),
                Map.of(deployment.serveOn(), outside, deployment.peerBind(), peers),
                deployment.peerBind(),
                IDLE_LEASES * deployment.workerLeaseMs(),
                deployment.connectionsTaken(),
                CROWDED_IDLE_PERIODS * deployment.heartbeatPeriodMs());
        controller.tell(new Controller.Begin());
        server.start();
    }
}

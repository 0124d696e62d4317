package notchpick.app;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import notchpick.coordination.Deployment;
import notchpick.protocol.PeerProtocol;
import notchpick.protocol.peer.LinkRow;
import notchpick.protocol.peer.LinkTable;
import notchpick.scheduling.Milliseconds;
import notchpick.transport.HttpCaller;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpStatus;
import notchpick.transport.JettyHttpCaller;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/** Queries all controllers of a deployment for the condition of their links, and prints it for operators. */
final class LinkStatusCommand {
    private static final long CALL_TIMEOUT_MS = 3000;
    private static final long CONNECT_TIMEOUT_MS = 1000;
    private static final int MIN_THREADS = 2;
    private static final int MAX_THREADS = 16;

    private LinkStatusCommand() {}

    /** The response of the controller with this name; {@link Response#UNANSWERED} if it sent none. */
    record NodeResponse(String node, Response response) {}

    /** Queries all controllers and prints the result; returns the exit status: 1 if no controller answered, else 0. */
    static int run(Deployment deployment, PrintStream out) throws Exception {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("timer", true);
        threads.start();
        try {
            scheduler.start();
            try (JettyHttpCaller caller = new JettyHttpCaller(threads, scheduler, 1, CONNECT_TIMEOUT_MS)) {
                List<NodeResponse> responses = query(deployment, caller);
                responses.forEach(response -> out.print(format(response)));
                return responses.stream()
                                .allMatch(response -> response.response().isUnanswered())
                        ? 1
                        : 0;
            }
        } finally {
            scheduler.stop();
            threads.stop();
        }
    }

    /** Queries all controllers in parallel; returns their responses, ordered by the name of the controller. */
    static List<NodeResponse> query(Deployment deployment, HttpCaller caller) throws InterruptedException {
        Map<String, String> addresses = new TreeMap<>();
        addresses.put(deployment.node(), deployment.peerBindAddress());
        deployment.peers().forEach(peer -> addresses.put(peer.node(), peer.address()));
        byte[] query = PeerProtocol.encode(new LinkTable("", 0L, null, null, 0L, List.of()));
        Map<String, Response> responses = new ConcurrentHashMap<>();
        CountDownLatch pending = new CountDownLatch(addresses.size());
        addresses.forEach((node, address) ->
                caller.call(new Request(address, "POST", PeerProtocol.PATH, query), CALL_TIMEOUT_MS, response -> {
                    responses.put(node, response);
                    pending.countDown();
                }));
        // Each call has its own timeout. A call that still does not end counts as unanswered after twice that time.
        pending.await(2 * CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        List<NodeResponse> ordered = new ArrayList<>();
        addresses
                .keySet()
                .forEach(
                        node -> ordered.add(new NodeResponse(node, responses.getOrDefault(node, Response.UNANSWERED))));
        return ordered;
    }

    /** Formats the response of one controller: a summary line, followed by one line per link. */
    static String format(NodeResponse nodeResponse) {
        String node = nodeResponse.node();
        Response response = nodeResponse.response();
        if (response.isConnectionRefused()) {
            return node + ": connection refused\n";
        }
        if (response.isUnanswered()) {
            return node + ": no answer\n";
        }
        if (response.status() != HttpStatus.OK || !(PeerProtocol.decode(response.body()) instanceof LinkTable table)) {
            return node + ": version does not report its links\n";
        }
        StringBuilder text = new StringBuilder(summary(table));
        table.getLinks().forEach(link -> text.append(line(link)));
        return text.toString();
    }

    private static String summary(LinkTable table) {
        return String.format(
                Locale.ROOT,
                "%s: term %d, leader %s, state store %s, timer lag %d ms%n",
                table.getNode(),
                table.getTerm(),
                table.getLeader() == null ? "unknown" : table.getLeader(),
                table.getStateBy() == null ? "direct" : "through " + table.getStateBy(),
                table.getLagMs());
    }

    private static String line(LinkRow link) {
        return String.format(
                Locale.ROOT,
                "  %-8s %-20s %-12s %12s %10s %12s%n",
                link.getKind().name().toLowerCase(Locale.ROOT),
                link.getName(),
                link.getCondition().name().toLowerCase(Locale.ROOT).replace('_', ' '),
                link.getAgeMs() < 0
                        ? "never"
                        : String.format(Locale.ROOT, "%.1f s ago", link.getAgeMs() / Milliseconds.PER_SECOND),
                link.getDelayMs() < 0 ? "-" : link.getDelayMs() + " ms",
                String.format(Locale.ROOT, "%.1f/s", link.getPerS()));
    }
}

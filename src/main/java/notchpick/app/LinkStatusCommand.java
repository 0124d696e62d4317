package notchpick.app;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import notchpick.coordination.Deployment;
import notchpick.protocol.PeerProtocol;
import notchpick.protocol.peer.LinkRow;
import notchpick.protocol.peer.LinkTable;
import notchpick.transport.HttpCaller;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;

/** Asks every controller of a deployment for its links, and writes them down for people. */
final class LinkStatusCommand {
    private static final long PATIENCE_MS = 3000;

    private LinkStatusCommand() {}

    /** What came of asking one controller. */
    record Asked(String node, Response answer) {}

    /** Asks all at once. */
    static List<Asked> ask(Deployment deployment, HttpCaller caller) throws InterruptedException {
        Map<String, String> addresses = new TreeMap<>();
        addresses.put(deployment.node(), deployment.peerBind());
        deployment.peers().forEach(peer -> addresses.put(peer.node(), peer.address()));
        byte[] question = PeerProtocol.bytes(new LinkTable("", 0L, null, null, 0L, List.of()));
        Map<String, Response> answers = new TreeMap<>();
        CountDownLatch open = new CountDownLatch(addresses.size());
        addresses.forEach((node, address) ->
                caller.call(new Request(address, "POST", PeerProtocol.PATH, question), PATIENCE_MS, answer -> {
                    synchronized (answers) {
                        answers.put(node, answer);
                    }
                    open.countDown();
                }));
        open.await(2 * PATIENCE_MS, TimeUnit.MILLISECONDS);
        List<Asked> all = new ArrayList<>();
        synchronized (answers) {
            addresses.keySet().forEach(node -> all.add(new Asked(node, answers.getOrDefault(node, Response.NONE))));
        }
        return all;
    }

    /** One paragraph for a controller. */
    static String text(Asked asked) {
        Response answer = asked.answer();
        if (answer.isUnsent()) {
            return asked.node() + ": connection refused\n";
        }
        if (answer.isNone()) {
            return asked.node() + ": no answer\n";
        }
        if (answer.status() != 200 || !(PeerProtocol.body(answer.body()) instanceof LinkTable table)) {
            return asked.node() + ": runs a version that does not tell its links\n";
        }
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "%s: term %d, leader %s, state service %s, timers %d ms late%n",
                table.getNode(),
                table.getTerm(),
                table.getLeader() == null ? "unknown" : table.getLeader(),
                table.getStateBy() == null ? "by its own link" : "through " + table.getStateBy(),
                table.getLagMs()));
        for (LinkRow row : table.getLinks()) {
            text.append(String.format(
                    Locale.ROOT,
                    "  %-8s %-20s %-12s %12s %10s %12s%n",
                    row.getKind().name().toLowerCase(Locale.ROOT),
                    row.getName(),
                    row.getCondition().name().toLowerCase(Locale.ROOT).replace('_', ' '),
                    row.getAgeMs() < 0 ? "never" : String.format(Locale.ROOT, "%.1f s ago", row.getAgeMs() / 1000.0),
                    row.getDelayMs() < 0 ? "-" : row.getDelayMs() + " ms",
                    String.format(Locale.ROOT, "%.1f a s", row.getPerS())));
        }
        return text.toString();
    }
}

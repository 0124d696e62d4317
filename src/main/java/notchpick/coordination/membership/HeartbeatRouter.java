package notchpick.coordination.membership;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.function.Consumer;
import notchpick.coordination.Deployment;
import notchpick.protocol.InvalidMessageException;
import notchpick.protocol.Json;
import notchpick.protocol.PeerProtocol;
import notchpick.protocol.UserProtocol;
import notchpick.protocol.WorkerProtocol;
import notchpick.protocol.WorkerProtocol.Heartbeat;
import notchpick.protocol.peer.LinkKind;
import notchpick.protocol.peer.Outcome;
import notchpick.protocol.peer.Outcomes;
import notchpick.protocol.peer.ReportBatch;
import notchpick.transport.Actor;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;

/**
 * Where a controller that does not lead sends the workers that come to it. As long as a worker can be expected to
 * reach the leader itself it is told to. One that has been there and comes back has not got through: its report is
 * passed on to the leader, and the leader's answer back, within the time that the worker waits. A report goes over
 * one controller at the most.
 */
public final class HeartbeatRouter extends Actor<HeartbeatRouter.Message> {
    /** What this actor is told. */
    public sealed interface Message {}

    /** Start to forget old visits from time to time. */
    public record Begin() implements Message {}

    /** A worker's report, and when it came. */
    public record Came(Request call, Consumer<Response> reply, long at) implements Message {}

    private static final int TURNED_AWAY = 503;
    private static final Response TRY_ANOTHER = new Response(TURNED_AWAY, new byte[0]);
    /** So many reports wait to be passed on; one more takes the place of the oldest. */
    private static final int MOST_WAITING = 1000;

    private static final int BATCH = 64;
    private static final int BATCH_BYTES = 256 << 10;
    private static final int MOST_BATCHES = 4;
    /** Reports are gathered for this part of their period. */
    private static final double BATCH_RATIO = 0.02;
    /** This part of a worker's patience is left for the answer's way back. */
    private static final double REPLY_RATIO = 0.125;
    /** A worker that did not get through is tried again after so many leases at the most. */
    private static final int LEASES_BETWEEN_TRIES = 2;

    private static final int MOST_DOUBLINGS = 8;

    /** What is known of a worker that has been here during this term. */
    private static final class Visit {
        private final long term;
        private long at;
        private long sequence;
        /** When it was last told to report to the leader; 0: never. */
        private long sentHomeAt;
        /** When its report was last passed on and answered; 0: never. */
        private long passedAt;

        private int failures;
        private long notHomeBefore;
        private long sentOnAt;

        Visit(long term) {
            this.term = term;
        }
    }

    private record Waiting(Came came, Visit visit) {}

    private final Deployment deployment;
    private final LeaderElection elector;
    private final PeerMembership peers;
    private final LinkMonitor links;
    private final long reportMs;
    private final long leaseMs;
    private final long batchMs;
    private final Map<String, Visit> visits = new HashMap<>();
    private final Queue<Waiting> waiting = new ArrayDeque<>();
    /** By zone, when a worker was last sent to the leader only to see whether it gets through. */
    private final Map<String, Long> triedAt = new HashMap<>();
    /** By controller that might share the work, when a worker was last sent there to see. */
    private final Map<String, Long> helpAskedAt = new HashMap<>();

    private int redirects;
    private boolean flushing;
    private int batchesOut;
    private long passed;
    /** How many it passed on in the last whole report period. */
    private long passedLately;

    public HeartbeatRouter(
            EventLoop loop, Deployment deployment, LeaderElection elector, PeerMembership peers, LinkMonitor links) {
        super(loop);
        this.deployment = deployment;
        this.elector = elector;
        this.peers = peers;
        this.links = links;
        this.reportMs = deployment.heartbeatPeriodMs();
        this.leaseMs = deployment.workerLeaseMs();
        this.batchMs = (long) (reportMs * BATCH_RATIO);
    }

    /** How many workers have lately been sent on to the leader. */
    public int redirects() {
        return redirects;
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof Begin) {
            every(reportMs, this::forget);
        } else if (message instanceof Came came) {
            try {
                route(came, WorkerProtocol.heartbeat(Json.object(came.call().body())));
            } catch (InvalidMessageException e) {
                came.reply().accept(new Response(400, Json.bytes(UserProtocol.error(e.getMessage()))));
            }
        }
    }

    /** What was long ago says nothing of a worker's way now. */
    private void forget() {
        redirects /= 2;
        long now = loop.nowMs();
        Iterator<Visit> all = visits.values().iterator();
        while (all.hasNext()) {
            Visit visit = all.next();
            if (now - visit.at > 2 * LEASES_BETWEEN_TRIES * leaseMs) {
                all.remove();
            }
        }
        if (passed > 0) {
            log.info("passed {} reports on", passed);
        }
        passedLately = passed;
        passed = 0;
    }

    private void route(Came came, Heartbeat report) {
        String leader = elector.leader();
        long term = elector.term();
        if (leader == null || leader.equals(deployment.node())) {
            redirect(came, null);
            return;
        }
        long now = loop.nowMs();
        Visit visit = visits.get(report.machine());
        if (visit == null || visit.term != term) {
            visit = new Visit(term);
            visits.put(report.machine(), visit);
        }
        visit.at = now;
        if (isGuest(visit) && report.sequence() == visit.sequence + 1) {
            links.workerHeard(report.zone());
        }
        visit.sequence = report.sequence();
        boolean cameBack = isRecent(visit.sentHomeAt, leaseMs);
        // Who knows this term's token was answered by its leader, and leaves it only when that fails.
        if (report.fencingToken() < term && !cameBack && !isGuest(visit)) {
            sendHome(came, visit, leader);
            return;
        }
        if (isGuest(visit)) {
            if (now >= visit.notHomeBefore
                    && (serves(leader, report.zone(), 2 * reportMs) || isDue(triedAt, report.zone()))) {
                sendHome(came, visit, leader);
                return;
            }
        } else if (visit.passedAt == 0 || cameBack) {
            visit.failures++;
            long pauseMs = reportMs << Math.min(visit.failures, MOST_DOUBLINGS);
            visit.notHomeBefore = now + Math.min(LEASES_BETWEEN_TRIES * leaseMs, pauseMs);
        }
        List<String> able = able(leader, report.zone());
        String keeper = helper(leader, report, able, visit);
        if (keeper == null) {
            keeper = keeper(report, able);
        }
        if (!deployment.node().equals(keeper) && (keeper == null || !isRecent(visit.sentOnAt, leaseMs))) {
            visit.sentOnAt = now;
            // A leader of a version that takes no passed reports can only be tried again.
            boolean mayTryAgain = keeper == null
                    && peers.linksOf(leader) == null
                    && peers.live().contains(leader);
            redirect(came, mayTryAgain ? leader : keeper);
        } else {
            pass(came, visit, leader);
        }
    }

    private boolean isRecent(long at, long withinMs) {
        return at != 0 && loop.nowMs() - at <= withinMs;
    }

    /** Whether the worker's last report was passed on here. */
    private boolean isGuest(Visit visit) {
        return isRecent(visit.passedAt, 2 * reportMs) && visit.passedAt > visit.sentHomeAt;
    }

    private void sendHome(Came came, Visit visit, String leader) {
        visit.sentHomeAt = loop.nowMs();
        redirects++;
        redirect(came, leader);
    }

    private static void redirect(Came came, String to) {
        came.reply().accept(new Response(421, Json.bytes(WorkerProtocol.redirect(to))));
    }

    /** Whether a peer says that workers of this zone have lately got answers from it. */
    private boolean serves(String peer, String zone, long withinMs) {
        long age = peers.linkAgeMs(peer, LinkKind.WORKERS, zone);
        return age >= 0 && age <= withinMs;
    }

    /** One worker at a time goes and sees, since it loses a report's time if it does not get through. */
    private boolean isDue(Map<String, Long> lastAt, String what) {
        if (isRecent(lastAt.getOrDefault(what, 0L), leaseMs / 2)) {
            return false;
        }
        lastAt.put(what, loop.nowMs());
        return true;
    }

    /** Who passes this worker's reports on, by its name, so that they share the work; null: nobody here knows a way. */
    private static String keeper(Heartbeat report, List<String> able) {
        return able.isEmpty() ? null : able.get(Math.floorMod(report.machine().hashCode(), able.size()));
    }

    /**
     * Another controller that reaches the leader, but has not shown that it is reached by workers, as none had reason
     * to come to it. When there is much to pass on, now and then one that would be its to keep goes and sees; if it
     * gets through, others follow. Null: nobody is to be tried now.
     */
    private String helper(String leader, Heartbeat report, List<String> able, Visit visit) {
        if (passedLately < BATCH || able.isEmpty() || isRecent(visit.sentOnAt, leaseMs)) {
            return null;
        }
        for (String peer : peers.live()) {
            List<String> all = new ArrayList<>(able);
            all.add(peer);
            Collections.sort(all);
            if (!able.contains(peer)
                    && peer.equals(keeper(report, all))
                    && reaches(peer, leader)
                    && isDue(helpAskedAt, peer)) {
                return peer;
            }
        }
        return null;
    }

    private boolean reaches(String peer, String leader) {
        return !peer.equals(leader) && peers.linkAgeMs(peer, LinkKind.PEER, leader) >= 0;
    }

    /** Those that reach the leader and are reached by the zone's workers. */
    private List<String> able(String leader, String zone) {
        List<String> able = new ArrayList<>();
        if (peers.canPass(leader)) {
            able.add(deployment.node());
        }
        for (String peer : peers.live()) {
            if (reaches(peer, leader) && serves(peer, zone, 2 * reportMs)) {
                able.add(peer);
            }
        }
        Collections.sort(able);
        return able;
    }

    private void pass(Came came, Visit visit, String leader) {
        if (!peers.canPass(leader)) {
            came.reply().accept(TRY_ANOTHER);
            return;
        }
        if (waiting.size() >= MOST_WAITING) {
            waiting.poll().came().reply().accept(TRY_ANOTHER);
        }
        waiting.add(new Waiting(came, visit));
        if (!flushing) {
            flushing = true;
            after(batchMs, this::flush);
        }
    }

    /**
     * What has come lately goes to the leader in one message, which costs it less than the same reports one by one;
     * only so many messages are on their way, so that a slow leader is not given more than it can answer.
     */
    private void flush() {
        flushing = false;
        String leader = elector.leader();
        while (!waiting.isEmpty() && batchesOut < MOST_BATCHES) {
            List<Waiting> batch = new ArrayList<>();
            int bytes = 0;
            long restMs = WorkerProtocol.PATIENCE_MS;
            while (!waiting.isEmpty() && batch.size() < BATCH && bytes < BATCH_BYTES) {
                Waiting next = waiting.poll();
                long left = (long) (next.came().at() + WorkerProtocol.PATIENCE_MS * (1 - REPLY_RATIO) - loop.nowMs());
                if (left < WorkerProtocol.PATIENCE_MS / 4 || leader == null || !peers.canPass(leader)) {
                    // It could not be answered in time; the next controller may do better.
                    next.came().reply().accept(TRY_ANOTHER);
                } else {
                    batch.add(next);
                    bytes += next.came().call().body().length;
                    restMs = Math.min(restMs, left);
                }
            }
            if (!batch.isEmpty()) {
                send(leader, batch, restMs);
            }
        }
    }

    private void send(String leader, List<Waiting> batch, long restMs) {
        batchesOut++;
        passed += batch.size();
        List<ByteBuffer> reports = batch.stream()
                .map(one -> ByteBuffer.wrap(one.came().call().body()))
                .toList();
        // The leader has a little less time than its answer is waited for.
        long patienceMs = (long) (restMs * (1 - REPLY_RATIO));
        peers.ask(leader, new ReportBatch(patienceMs, reports), restMs, here(reply -> {
            batchesOut--;
            List<Outcome> outcomes =
                    reply instanceof Outcomes all && all.getEach().size() == batch.size() ? all.getEach() : null;
            for (int i = 0; i < batch.size(); i++) {
                answered(batch.get(i), outcomes == null ? null : outcomes.get(i));
            }
            flush();
        }));
    }

    private void answered(Waiting one, Outcome outcome) {
        if (outcome == null || outcome.getStatus() <= 0) {
            one.came().reply().accept(TRY_ANOTHER);
            return;
        }
        if (outcome.getStatus() == 200) {
            one.visit().passedAt = loop.nowMs();
        }
        one.came().reply().accept(new Response(outcome.getStatus(), PeerProtocol.content(outcome.getContent())));
    }
}

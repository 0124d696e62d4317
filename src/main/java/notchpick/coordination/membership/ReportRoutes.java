package notchpick.coordination.membership;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import notchpick.coordination.Deployment;
import notchpick.protocol.InvalidMessage;
import notchpick.protocol.Json;
import notchpick.protocol.UserWire;
import notchpick.protocol.WorkerWire;
import notchpick.protocol.WorkerWire.Report;
import notchpick.protocol.peer.LinkCondition;
import notchpick.protocol.peer.LinkKind;
import notchpick.protocol.peer.LinkRow;
import notchpick.protocol.peer.LinkTable;
import notchpick.protocol.peer.Outcome;
import notchpick.protocol.peer.ReportCall;
import notchpick.transport.Actor;
import notchpick.transport.Caller.Answer;
import notchpick.transport.Caller.Call;
import notchpick.transport.EventLoop;

/**
 * Where a controller that does not lead sends the workers that come to it. As long as a worker can be expected to
 * reach the leader itself it is told to. One that has been there and comes back has not got through: its report is
 * passed on to the leader, and the leader's answer back, within the time that the worker waits. A report goes over
 * one controller at the most.
 */
public final class ReportRoutes extends Actor<ReportRoutes.Message> {
    /** What this actor is told. */
    public sealed interface Message {}

    public record Begin() implements Message {}

    /** A worker's report, and when it came. */
    public record Came(Call call, Consumer<Answer> reply, long at) implements Message {}

    private static final int TURNED_AWAY = 503;
    /** So many reports are on their way to the leader at a time; one more takes the place of the oldest. */
    private static final int MOST_ON_THE_WAY = 48;
    /** This part of a worker's patience is left for the answer's way back. */
    private static final double REPLY_RATIO = 0.125;
    /** A worker that did not get through is tried again after so many leases at the most. */
    private static final int LEASES_BETWEEN_TRIES = 2;

    /** What is known of a worker that has been here during this term. */
    private static final class Visit {
        private final long term;
        private long at;
        /** When it was last told to report to the leader; 0: not since it got through by this controller. */
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

    private record OnTheWay(Consumer<Answer> reply) {}

    private final Deployment deployment;
    private final Elector elector;
    private final Peers peers;
    private final Links links;
    private final long reportMs;
    private final long leaseMs;
    private final Map<String, Visit> visits = new HashMap<>();
    private final Set<OnTheWay> onTheWay = new LinkedHashSet<>();
    /** By zone, when a worker was last sent to the leader only to see whether it gets through. */
    private final Map<String, Long> triedAt = new HashMap<>();
    private int redirects;
    private long passed;

    public ReportRoutes(EventLoop loop, Deployment deployment, Elector elector, Peers peers, Links links) {
        super(loop);
        this.deployment = deployment;
        this.elector = elector;
        this.peers = peers;
        this.links = links;
        this.reportMs = (long) (deployment.reportS() * 1000);
        this.leaseMs = (long) (deployment.workerLeaseS() * 1000);
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
                route(came, WorkerWire.report(Json.object(came.call().body())));
            } catch (InvalidMessage e) {
                came.reply().accept(new Answer(400, Json.bytes(UserWire.error(e.getMessage()))));
            }
        }
    }

    /** What was long ago says nothing of a worker's way now. */
    private void forget() {
        redirects /= 2;
        long now = loop.now();
        Iterator<Visit> all = visits.values().iterator();
        while (all.hasNext()) {
            Visit visit = all.next();
            if (now - visit.at > 2 * LEASES_BETWEEN_TRIES * leaseMs) {
                all.remove();
            }
        }
        if (passed > 0) {
            log.info("passed {} reports on", passed);
            passed = 0;
        }
    }

    private void route(Came came, Report report) {
        links.workerHeard(report.zone());
        String leader = elector.leader();
        long term = elector.term();
        if (leader == null || leader.equals(deployment.node())) {
            redirect(came, null);
            return;
        }
        long now = loop.now();
        Visit visit = visits.get(report.machine());
        if (visit == null || visit.term != term) {
            visit = new Visit(term);
            visits.put(report.machine(), visit);
        }
        visit.at = now;
        boolean cameBack = isRecent(visit.sentHomeAt, leaseMs);
        // Who knows this term's token was answered by its leader, and leaves it only when that fails.
        if (report.token() < term && !cameBack && !isGuest(visit)) {
            sendHome(came, visit, leader);
            return;
        }
        if (isGuest(visit)) {
            if (now >= visit.notHomeBefore && (leaderHears(leader, report.zone()) || isTrial(report.zone()))) {
                sendHome(came, visit, leader);
                return;
            }
        } else if (visit.passedAt == 0 || cameBack) {
            visit.failures++;
            visit.notHomeBefore = now + Math.min(LEASES_BETWEEN_TRIES * leaseMs, reportMs << Math.min(visit.failures, 8));
        }
        String keeper = keeper(leader, report);
        if (!deployment.node().equals(keeper) && (keeper == null || !isRecent(visit.sentOnAt, leaseMs))) {
            visit.sentOnAt = now;
            redirect(came, keeper);
        } else {
            pass(came, visit, leader);
        }
    }

    private boolean isRecent(long at, long withinMs) {
        return at != 0 && loop.now() - at <= withinMs;
    }

    /** Whether the worker's last report was passed on here. */
    private boolean isGuest(Visit visit) {
        return isRecent(visit.passedAt, 2 * reportMs) && visit.passedAt > visit.sentHomeAt;
    }

    private void sendHome(Came came, Visit visit, String leader) {
        visit.sentHomeAt = loop.now();
        redirects++;
        redirect(came, leader);
    }

    private static void redirect(Came came, String to) {
        came.reply().accept(new Answer(421, Json.bytes(WorkerWire.redirect(to))));
    }

    /** Whether the leader says that workers of this zone report to it by themselves. */
    private boolean leaderHears(String leader, String zone) {
        return hears(peers.linksOf(leader), zone, reportMs);
    }

    private static boolean hears(LinkTable table, String zone, long withinMs) {
        return row(table, LinkKind.WORKERS, zone, withinMs);
    }

    private static boolean row(LinkTable table, LinkKind kind, String name, long withinMs) {
        if (table != null) {
            for (LinkRow row : table.getLinks()) {
                if (row.getKind() == kind && row.getName().equals(name)) {
                    return row.getCondition() == LinkCondition.UP && row.getAgeMs() <= withinMs;
                }
            }
        }
        return false;
    }

    /** One worker of a zone at a time goes and sees; it loses a report's time if it does not get through. */
    private boolean isTrial(String zone) {
        long now = loop.now();
        if (now - triedAt.getOrDefault(zone, 0L) < leaseMs / 2) {
            return false;
        }
        triedAt.put(zone, now);
        return true;
    }

    /**
     * Who passes this worker's reports on: one of those that reach the leader and are reached by its zone's workers,
     * by the machine's name, so that they share the work. Null: nobody here knows a way.
     */
    private String keeper(String leader, Report report) {
        List<String> able = new ArrayList<>();
        if (peers.canPass(leader)) {
            able.add(deployment.node());
        }
        for (String peer : peers.live()) {
            LinkTable table = peers.linksOf(peer);
            if (!peer.equals(leader) && row(table, LinkKind.PEER, leader, reportMs)
                    && hears(table, report.zone(), 2 * reportMs)) {
                able.add(peer);
            }
        }
        Collections.sort(able);
        return able.isEmpty() ? null : able.get(Math.floorMod(report.machine().hashCode(), able.size()));
    }

    private void pass(Came came, Visit visit, String leader) {
        long now = loop.now();
        long restMs = (long) (came.at() + WorkerWire.PATIENCE_MS * (1 - REPLY_RATIO) - now);
        if (restMs < WorkerWire.PATIENCE_MS / 2 || !peers.canPass(leader)) {
            // It could not be answered in time; the next controller may do better.
            came.reply().accept(new Answer(TURNED_AWAY, new byte[0]));
            return;
        }
        if (onTheWay.size() >= MOST_ON_THE_WAY) {
            OnTheWay oldest = onTheWay.iterator().next();
            onTheWay.remove(oldest);
            oldest.reply().accept(new Answer(TURNED_AWAY, new byte[0]));
        }
        OnTheWay one = new OnTheWay(came.reply());
        onTheWay.add(one);
        passed++;
        peers.ask(leader, new ReportCall(restMs, ByteBuffer.wrap(came.call().body())), restMs, here(reply -> {
            if (!onTheWay.remove(one)) {
                return;
            }
            if (reply instanceof Outcome outcome && outcome.getStatus() > 0) {
                if (outcome.getStatus() == 200) {
                    visit.passedAt = loop.now();
                }
                byte[] content = new byte[outcome.getContent().remaining()];
                outcome.getContent().get(content);
                one.reply().accept(new Answer(outcome.getStatus(), content));
            } else {
                one.reply().accept(new Answer(TURNED_AWAY, new byte[0]));
            }
        }));
    }
}

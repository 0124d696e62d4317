package notchpick.coordination.membership;

import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import notchpick.protocol.PeerProtocol;
import notchpick.protocol.StateStoreTransport;
import notchpick.protocol.peer.Outcome;
import notchpick.protocol.peer.StateCall;
import notchpick.transport.Actor;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;

/**
 * Sends requests to the state service by this controller's own link, and by way of a peer when that one is cut or
 * refused while the peer's is not. A refused request has surely not been executed and is sent again by a peer at
 * once. One that stays silent may have been: it is given up as lost as soon as a hasty request, which may be sent
 * twice, has come back by another way. Whoever sent it bears that it is carried out late, as always.
 */
public final class FailoverStateStoreTransport extends Actor<Void> implements StateStoreTransport {
    private static final int TURNED_AWAY = 503;
    /** A hasty request that is silent for so long, as a part of the leader's lease, is sent by another way as well. */
    private static final double HEDGE_RATIO = 0.08;
    /** As a part of the leader's lease: after peers were refused too, none is asked for so long. */
    private static final double BACK_OFF_RATIO = 0.25;
    /** A peer answers before its asker gives up. */
    private static final double REPLY_RATIO = 0.1;

    /** One request until its sender has been answered. */
    private static final class Sent {
        private final Request call;
        private final long at;
        private final long until;
        private final boolean hasty;
        private final Consumer<Response> then;
        /** The peers it has gone by. */
        private final Set<String> tried = new HashSet<>();
        /** The way it has gone by last: a peer, or null for the own link. */
        private String by;
        /** How many of its copies are out. */
        private int out;

        private boolean peerAnswered;
        private boolean over;

        Sent(Request call, long at, long timeoutMs, boolean hasty, Consumer<Response> then) {
            this.call = call;
            this.at = at;
            this.until = at + timeoutMs;
            this.hasty = hasty;
            this.then = then;
        }
    }

    private final HttpCaller caller;
    private final LinkMonitor links;
    private final PeerMembership peers;
    private final long hedgeMs;
    private final long backOffMs;
    private final long settleMs;
    private final Set<Sent> open = new LinkedHashSet<>();
    /** The peer by which requests go; null: the own link. */
    private String by;

    private long bySince;
    /** When the own link last brought an answer that was no refusal. */
    private long answeredAt = Long.MIN_VALUE;
    /** Since when the own link has answered without fail, while requests went by a peer; 0: it does not. */
    private long answersSince;

    private long noPeerUntil = Long.MIN_VALUE;

    public FailoverStateStoreTransport(
            EventLoop loop, HttpCaller caller, LinkMonitor links, PeerMembership peers, long leaderLeaseMs) {
        super(loop);
        this.caller = caller;
        this.links = links;
        this.peers = peers;
        this.hedgeMs = (long) (leaderLeaseMs * HEDGE_RATIO);
        this.backOffMs = (long) (leaderLeaseMs * BACK_OFF_RATIO);
        this.settleMs = leaderLeaseMs;
    }

    @Override
    protected void receive(Void message) {
        throw new IllegalStateException("it is sent requests, and told nothing");
    }

    /** The peer by which the state service is reached; null: directly, or not at all. */
    public String by() {
        return by;
    }

    /** How long requests have gone by a peer; 0: they don't. */
    public long relayedForMs() {
        return by == null ? 0 : loop.nowMs() - bySince;
    }

    @Override
    public void sendHere(Request call, long timeoutMs, Consumer<Response> then) {
        if (by != null) {
            // Whoever asks must look for another: one hop is all there is.
            then.accept(new Response(TURNED_AWAY, new byte[0]));
            return;
        }
        long sentAt = loop.nowMs();
        caller.call(call, timeoutMs, answer -> {
            links.stateEnded(answer, sentAt);
            then.accept(answer);
        });
    }

    @Override
    public void send(Request call, long timeoutMs, boolean hasty, Consumer<Response> then) {
        Sent sent = new Sent(call, loop.nowMs(), timeoutMs, hasty, then);
        open.add(sent);
        if (by == null) {
            direct(sent);
        } else {
            through(by, sent);
            if (hasty) {
                // Shows whether the own link is back.
                direct(sent);
            }
        }
        if (hasty) {
            after(hedgeMs, () -> hedge(sent));
        }
    }

    private void end(Sent sent, Response answer) {
        if (!sent.over) {
            sent.over = true;
            open.remove(sent);
            sent.then.accept(answer);
        }
    }

    /** One copy has come to nothing; the last of them is the request's end, unless there is another way. */
    private void failed(Sent sent, Response answer) {
        sent.out--;
        boolean mayGoAgain = sent.hasty || answer.isUnsent() || answer.status() == TURNED_AWAY;
        if (!sent.over && !(mayGoAgain && detour(sent)) && sent.out == 0) {
            end(sent, answer);
        }
    }

    private static boolean isServed(Response answer) {
        return !answer.isNone() && answer.status() != TURNED_AWAY;
    }

    private void direct(Sent sent) {
        sent.out++;
        long sentAt = loop.nowMs();
        caller.call(sent.call, Math.max(1, sent.until - sentAt), here(answer -> {
            links.stateEnded(answer, sentAt);
            ownLink(isServed(answer));
            if (isServed(answer)) {
                end(sent, answer);
            } else {
                failed(sent, answer);
            }
        }));
    }

    /** Back to the own link only when it has answered for a whole lease: one that flaps is no help. */
    private void ownLink(boolean served) {
        if (served) {
            answeredAt = loop.nowMs();
        }
        if (by == null || !served) {
            answersSince = 0;
        } else if (answersSince == 0) {
            answersSince = loop.nowMs();
        } else if (loop.nowMs() - answersSince >= settleMs) {
            log.info("the state service is reached directly again");
            by = null;
        }
    }

    /** Sends by a peer that has not been tried; false if there is none. */
    private boolean detour(Sent sent) {
        if (loop.nowMs() < noPeerUntil || loop.nowMs() >= sent.until) {
            return false;
        }
        for (String node : peers.wayToState()) {
            if (!sent.tried.contains(node)) {
                through(node, sent);
                return true;
            }
        }
        return false;
    }

    private void hedge(Sent sent) {
        if (by != null && by.equals(sent.by) && sent.over && !sent.peerAnswered) {
            // The own link was sooner than the peer.
            change(null);
        } else if (!sent.over && detour(sent)) {
            after(hedgeMs, () -> hedge(sent));
        }
    }

    private void through(String node, Sent sent) {
        long restMs = sent.until - loop.nowMs();
        sent.by = node;
        sent.tried.add(node);
        sent.out++;
        ByteBuffer content = sent.call.body() == null ? null : ByteBuffer.wrap(sent.call.body());
        StateCall call =
                new StateCall(sent.call.method(), sent.call.path(), content, (long) (restMs * (1 - REPLY_RATIO)));
        peers.ask(node, call, Math.max(1, restMs), here(reply -> answered(node, sent, reply)));
    }

    private void answered(String node, Sent sent, Object reply) {
        Response answer = reply instanceof Outcome outcome
                ? new Response(outcome.getStatus(), PeerProtocol.content(outcome.getContent()))
                : Response.NONE;
        if (isServed(answer)) {
            sent.peerAnswered = true;
            boolean first = !sent.over;
            end(sent, answer);
            // One slow answer among others is no reason to leave the own link.
            if (first && !node.equals(by) && (answeredAt < sent.at || by != null)) {
                change(node);
            }
            return;
        }
        if (answer.status() == TURNED_AWAY) {
            noPeerUntil = loop.nowMs() + backOffMs;
        }
        if (node.equals(by)) {
            // It does not help any more; the next hasty request finds another, or the own link.
            change(null);
        }
        failed(sent, answer);
    }

    /** From now on requests go by this peer, or by the own link; those still out on the former way are lost. */
    private void change(String to) {
        log.info("the state service is reached {}", to == null ? "directly, if at all" : "through " + to);
        by = to;
        bySince = loop.nowMs();
        answersSince = 0;
        for (Sent sent : List.copyOf(open)) {
            if (!Objects.equals(sent.by, to) && !sent.hasty) {
                end(sent, Response.NONE);
            }
        }
    }
}

package notchpick.app;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import notchpick.bookkeeping.Records;
import notchpick.coordination.Deployment;
import notchpick.coordination.Tuning;
import notchpick.coordination.leading.Leader;
import notchpick.coordination.leading.Placer;
import notchpick.coordination.membership.ElectionPriority;
import notchpick.coordination.membership.Elector;
import notchpick.coordination.membership.FailoverStateTransport;
import notchpick.coordination.membership.Links;
import notchpick.coordination.membership.Peers;
import notchpick.coordination.membership.ReportRoutes;
import notchpick.coordination.users.UserRequestHandler;
import notchpick.protocol.CloudApi;
import notchpick.protocol.InvalidMessage;
import notchpick.protocol.Json;
import notchpick.protocol.PeerWire;
import notchpick.protocol.StateApi;
import notchpick.protocol.StateApi.Entry;
import notchpick.protocol.StateApi.Ok;
import notchpick.protocol.UserWire;
import notchpick.protocol.WorkerWire;
import notchpick.protocol.peer.Grant;
import notchpick.protocol.peer.LinkTable;
import notchpick.protocol.peer.Outcome;
import notchpick.protocol.peer.Outcomes;
import notchpick.protocol.peer.Progress;
import notchpick.protocol.peer.Pulse;
import notchpick.protocol.peer.Relay;
import notchpick.protocol.peer.Relayed;
import notchpick.protocol.peer.ReportBatch;
import notchpick.protocol.peer.StateCall;
import notchpick.scheduling.MachineType;
import notchpick.transport.Actor;
import notchpick.transport.Caller;
import notchpick.transport.Caller.Answer;
import notchpick.transport.Caller.Call;
import notchpick.transport.EventLoop;
import notchpick.transport.ResultCollector;

/** Wires the actors of one controller together and passes requests on to them. */
public final class Controller extends Actor<Controller.Message> implements Elector.Listener {
    /** What arrives from outside. */
    public sealed interface Message {}

    /** The process has started. */
    public record Begin() implements Message {}

    private record FromOutside(Call call, Consumer<Answer> reply, long at) implements Message {}

    private record FromPeer(Call call, Consumer<Answer> reply, long at) implements Message {}

    private static final long STATE_TIMEOUT_MS = 1500;
    private static final long CLOUD_TIMEOUT_MS = 5000;
    private static final long TYPES_PERIOD_MS = 30_000;
    private static final long RETRY_MS = 500;
    private static final long RELAY_TIMEOUT_MS = 2000;

    private final Deployment deployment;
    private final Tuning tuning;
    private final StateApi state;
    private final CloudApi cloud;
    private final Links links;
    private final FailoverStateTransport routes;
    private final Elector elector;
    private final ReportRoutes reportRoutes;
    private final Peers peers;
    private final UserRequestHandler userRequests;
    private final long leaderLeaseMs;
    private Leader leader;
    private List<MachineType> types;

    public Controller(EventLoop loop, Deployment deployment, Tuning tuning, Caller caller, Random random) {
        super(loop);
        this.deployment = deployment;
        this.tuning = tuning;
        Caller inTurn = (call, timeoutMs, then) -> caller.call(call, timeoutMs, here(then));
        this.leaderLeaseMs = (long) (deployment.workerLeaseS() * 1000 * tuning.leaderLeaseRatio());
        this.links = new Links(loop, deployment);
        this.peers = new Peers(loop, deployment, inTurn, this::pulse, this::heard, links, this::linkTable);
        this.routes = new FailoverStateTransport(loop, inTurn, links, peers, leaderLeaseMs);
        this.state = new StateApi(routes, loop, deployment.stateAddress(), STATE_TIMEOUT_MS, deployment.requestsPerS());
        this.cloud = new CloudApi(inTurn, deployment.cloudAddress(), CLOUD_TIMEOUT_MS);
        this.elector = new Elector(
                loop,
                deployment.node(),
                state,
                random,
                leaderLeaseMs,
                new ElectionPriority(links, peers, routes, (long) (deployment.reportS() * 1000), leaderLeaseMs),
                this);
        this.reportRoutes = new ReportRoutes(loop, deployment, elector, peers, links);
        this.userRequests = new UserRequestHandler(loop, deployment, state, this::progress);
    }

    /** Serves users, workers and health checks. */
    public void serve(Call call, Consumer<Answer> reply) {
        tell(new FromOutside(call, reply, loop.now()));
    }

    /** Serves the other controllers. */
    public void servePeer(Call call, Consumer<Answer> reply) {
        tell(new FromPeer(call, reply, loop.now()));
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof Begin) {
            long surelyMs = deployment.surelyCancelledMs(leaderLeaseMs / 1000.0);
            if (surelyMs > deployment.cancelS() * 1000) {
                log.warn(
                        "cancel_s is {} s, but a cancelled task on a machine that can't be reached may stay for {} s, "
                                + "as lease_s is {} s",
                        deployment.cancelS(),
                        surelyMs / 1000.0,
                        deployment.workerLeaseS());
            }
            elector.tell(new Elector.Begin());
            peers.tell(new Peers.Begin());
            reportRoutes.tell(new ReportRoutes.Begin());
            learnTypes();
        } else if (message instanceof FromOutside outside) {
            outside(outside.call(), outside.reply(), outside.at());
        } else if (message instanceof FromPeer peer) {
            peer(peer.call(), peer.reply(), peer.at());
        }
    }

    private void outside(Call call, Consumer<Answer> reply, long at) {
        String path = call.path();
        if (path.equals("/hello")) {
            if (loop.now() - at > WorkerWire.PATIENCE_MS) {
                // Its worker has given it up; to look at it would only make the next ones late too.
                reply.accept(new Answer(503, new byte[0]));
            } else if (call.method().equals("POST")) {
                report(call, reply, at);
            } else {
                reply.accept(new Answer(405, new byte[0]));
            }
        } else if (path.equals("/ready")) {
            links.usersHeard();
            reply.accept(new Answer(call.method().equals("GET") ? isReady() ? 200 : 503 : 405, new byte[0]));
        } else if (elector.isForeign()) {
            reply.accept(new Answer(503, Json.bytes(UserWire.error("records of another version")), 1));
        } else if (!state.reachable() && peers.withState() != null) {
            // Cut off from the state service while a peer is not: let the peer answer.
            peers.relay(
                    peers.withState(),
                    call,
                    RELAY_TIMEOUT_MS,
                    answer -> reply.accept(
                            !answer.isNone()
                                    ? answer
                                    : new Answer(503, Json.bytes(UserWire.error("no state service")), 1)));
        } else {
            userRequests.tell(new UserRequestHandler.Request(call, reply));
        }
    }

    /** In an outage that all share, leaving the balancer's list would help nobody. */
    private boolean isReady() {
        return userRequests.ready() && !elector.isForeign() && (state.reachable() || peers.withState() == null);
    }

    private void report(Call call, Consumer<Answer> toWorker, long at) {
        // Whoever is told to try another controller would leave its connection behind, and there are thousands.
        Consumer<Answer> reply = answer -> toWorker.accept(answer.status() == 200 ? answer : answer.last());
        if (leader == null) {
            reportRoutes.tell(new ReportRoutes.Came(call, reply, at));
            return;
        }
        reported(call.body(), reply, false);
    }

    private void reported(byte[] body, Consumer<Answer> reply, boolean passed) {
        try {
            leader.tell(new Leader.Reported(WorkerWire.report(Json.object(body)), reply, passed));
        } catch (InvalidMessage e) {
            reply.accept(new Answer(400, Json.bytes(UserWire.error(e.getMessage()))));
        }
    }

    /** Reports that another controller passes on. They go no further from here. */
    private void passedReports(ReportBatch batch, Consumer<Answer> reply, long at) {
        long restMs = batch.getPatienceMs() - (loop.now() - at);
        ResultCollector<Outcome> outcomes = new ResultCollector<>(
                batch.getReports().size(),
                outcome(new Answer(503, new byte[0])),
                all -> reply.accept(new Answer(200, PeerWire.bytes(new Outcomes(all)))));
        // What is not answered in time is of no use to its worker, and must not keep the others.
        after(Math.max(0, restMs), outcomes::close);
        for (int i = 0; i < batch.getReports().size() && restMs > 0; i++) {
            int index = i;
            Consumer<Answer> one = answer -> outcomes.put(index, outcome(answer));
            if (leader != null) {
                reported(PeerWire.content(batch.getReports().get(i)), one, true);
            } else {
                one.accept(new Answer(
                        421,
                        Json.bytes(WorkerWire.redirect(
                                deployment.node().equals(elector.leader()) ? null : elector.leader()))));
            }
        }
    }

    /** Tells a controller what came of a call that it had this one make. */
    private static Consumer<Answer> outcome(Consumer<Answer> reply) {
        return answer -> reply.accept(new Answer(200, PeerWire.bytes(outcome(answer))));
    }

    private static Outcome outcome(Answer answer) {
        return new Outcome(answer.status(), ByteBuffer.wrap(answer.body()));
    }

    private void peer(Call call, Consumer<Answer> reply, long at) {
        Object body = call.path().equals(PeerWire.PATH) ? PeerWire.body(call.body()) : null;
        if (body instanceof Pulse pulse) {
            peers.tell(new Peers.Heard(pulse));
            reply.accept(new Answer(200, PeerWire.bytes(pulse(List.of()))));
        } else if (body instanceof Grant grant) {
            reply.accept(new Answer(200, PeerWire.bytes(Placer.place(grant, deployment.node()))));
        } else if (body instanceof ReportBatch batch) {
            passedReports(batch, reply, at);
        } else if (body instanceof StateCall passed) {
            state.pass(
                    passed.getMethod(),
                    passed.getPath(),
                    PeerWire.content(passed.getContent()),
                    passed.getTimeoutMs() - (loop.now() - at),
                    outcome(reply));
        } else if (body instanceof LinkTable table) {
            peers.tell(new Peers.LinksTold(table, own -> reply.accept(new Answer(200, PeerWire.bytes(own)))));
        } else if (body instanceof Relay relay) {
            byte[] content = relay.getContent().getBytes(java.nio.charset.StandardCharsets.UTF_8);
            Call relayed = new Call(null, relay.getMethod(), relay.getPath(), content);
            userRequests.tell(new UserRequestHandler.Request(
                    relayed,
                    here(answer -> reply.accept(new Answer(
                            200,
                            PeerWire.bytes(new Relayed(
                                    answer.status(),
                                    new String(answer.body(), java.nio.charset.StandardCharsets.UTF_8))))))));
        } else {
            reply.accept(new Answer(400, new byte[0]));
        }
    }

    private Pulse pulse() {
        return pulse(leader == null ? List.of() : leader.progress());
    }

    private Pulse pulse(List<Progress> progress) {
        // Others pass calls on by this controller only where it needs nobody for them itself.
        return new Pulse(
                deployment.node(),
                elector.term(),
                elector.leader(),
                state.reachable() && routes.by() == null,
                reportRoutes.redirects(),
                progress);
    }

    private LinkTable linkTable() {
        return new LinkTable(
                deployment.node(), elector.term(), elector.leader(), routes.by(), peers.lagMs(), links.rows());
    }

    private void heard(Pulse pulse) {
        elector.tell(new Elector.TermSeen(pulse.getTerm(), pulse.getLeader()));
    }

    private Progress progress(String job) {
        return leader != null ? leader.progress(job) : peers.progress(job);
    }

    // ---- machine types: kept in the state service, so that a cloud that is down keeps nobody out ----

    private void learnTypes() {
        if (types == null) {
            state.get(Records.TYPES, here(result -> {
                if (types == null && result instanceof Ok<Entry> ok) {
                    typesKnown(CloudApi.types(ok.value().value()));
                }
                if (types == null) {
                    askCloud(RETRY_MS);
                } else {
                    after(TYPES_PERIOD_MS, this::learnTypes);
                }
            }));
        } else if (leader != null) {
            askCloud(TYPES_PERIOD_MS);
        } else {
            after(TYPES_PERIOD_MS, this::learnTypes);
        }
    }

    private void askCloud(long againMs) {
        cloud.types(here(known -> {
            if (known != null) {
                typesKnown(known);
                JsonNode kept = CloudApi.typesJson(known);
                // Half a list would tell users that their jobs fit nothing.
                if (Json.bytes(kept).length <= deployment.valueBytes()) {
                    state.commit(new StateApi.Transaction().put(Records.TYPES, kept), result -> {});
                }
            }
            after(types == null ? RETRY_MS : againMs, this::learnTypes);
        }));
    }

    private void typesKnown(List<MachineType> known) {
        if (known == null) {
            return;
        }
        types = known;
        userRequests.tell(new UserRequestHandler.TypesKnown(known));
        if (leader != null) {
            leader.tell(new Leader.TypesKnown(known));
        }
    }

    // ---- what the elector tells ----------------------------------------------------------------

    @Override
    public void elected(long term, long version, long claimUntil) {
        leader = new Leader(
                loop,
                deployment,
                tuning,
                state,
                cloud,
                peers,
                links,
                routes::detourMs,
                leaderLeaseMs,
                term,
                version,
                claimUntil,
                why -> elector.tell(new Elector.GiveWay(why)));
        if (types != null) {
            leader.tell(new Leader.TypesKnown(types));
        }
    }

    @Override
    public void claimRenewed(long claimUntil) {
        leader.tell(new Leader.ClaimRenewed(claimUntil));
    }

    @Override
    public void deposed() {
        leader.tell(new Leader.Depose());
        leader = null;
    }
}

package notchpick.app;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import notchpick.coordination.Deployment;
import notchpick.coordination.Tuning;
import notchpick.coordination.leader.Leader;
import notchpick.coordination.leader.LeaderEnvironment;
import notchpick.coordination.leader.allocation.TaskPlacer;
import notchpick.coordination.membership.ElectedTerm;
import notchpick.coordination.membership.ElectionPriority;
import notchpick.coordination.membership.FailoverStateStoreTransport;
import notchpick.coordination.membership.HeartbeatRouter;
import notchpick.coordination.membership.LeaderElection;
import notchpick.coordination.membership.LinkMonitor;
import notchpick.coordination.membership.PeerMembership;
import notchpick.coordination.userapi.UserRequestHandler;
import notchpick.protocol.CloudClient;
import notchpick.protocol.InvalidMessageException;
import notchpick.protocol.Json;
import notchpick.protocol.PeerProtocol;
import notchpick.protocol.StateStoreClient;
import notchpick.protocol.StateStoreClient.Entry;
import notchpick.protocol.StateStoreClient.Ok;
import notchpick.protocol.UserProtocol;
import notchpick.protocol.WorkerProtocol;
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
import notchpick.storage.Records;
import notchpick.transport.Actor;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.ResultCollector;

/** Wires the actors of one controller together and passes requests on to them. */
public final class Controller extends Actor<Controller.Message> implements LeaderElection.Listener {
    /** What arrives from outside. */
    public sealed interface Message {}

    /** The process has started. */
    public record Begin() implements Message {}

    private record FromOutside(Request call, Consumer<Response> reply, long at) implements Message {}

    private record FromPeer(Request call, Consumer<Response> reply, long at) implements Message {}

    private static final long STATE_TIMEOUT_MS = 1500;
    private static final long CLOUD_TIMEOUT_MS = 5000;
    private static final long TYPES_PERIOD_MS = 30_000;
    private static final long RETRY_MS = 500;
    private static final long RELAY_TIMEOUT_MS = 2000;

    private final Deployment deployment;
    private final StateStoreClient state;
    private final CloudClient cloud;
    private final LinkMonitor links;
    private final FailoverStateStoreTransport routes;
    private final LeaderElection elector;
    private final HeartbeatRouter reportRoutes;
    private final PeerMembership peers;
    private final UserRequestHandler userRequests;
    private final long leaderLeaseMs;
    private final LeaderEnvironment leaderEnvironment;
    private Leader leader;
    private List<MachineType> types;

    public Controller(EventLoop loop, Deployment deployment, Tuning tuning, HttpCaller caller, Random random) {
        super(loop);
        this.deployment = deployment;
        HttpCaller inTurn = (call, timeoutMs, then) -> caller.call(call, timeoutMs, here(then));
        this.leaderLeaseMs = deployment.leaderLeaseMs(tuning);
        this.links = new LinkMonitor(loop, deployment);
        this.peers = new PeerMembership(loop, deployment, inTurn, this::pulse, this::heard, links, this::linkTable);
        this.routes = new FailoverStateStoreTransport(loop, inTurn, links, peers, leaderLeaseMs);
        this.state = new StateStoreClient(
                routes, loop, deployment.stateAddress(), STATE_TIMEOUT_MS, deployment.requestsPerS());
        this.cloud = new CloudClient(inTurn, deployment.cloudAddress(), CLOUD_TIMEOUT_MS);
        this.elector = new LeaderElection(
                loop,
                deployment.node(),
                state,
                random,
                leaderLeaseMs,
                new ElectionPriority(links, peers, routes, deployment.heartbeatPeriodMs(), leaderLeaseMs),
                this);
        this.reportRoutes = new HeartbeatRouter(loop, deployment, elector, peers, links);
        this.leaderEnvironment = new LeaderEnvironment(loop, deployment, tuning, state, cloud, peers, links, routes);
        this.userRequests = new UserRequestHandler(loop, deployment, state, this::progress);
    }

    /** Serves users, workers and health checks. */
    public void serve(Request call, Consumer<Response> reply) {
        tell(new FromOutside(call, reply, loop.nowMs()));
    }

    /** Serves the other controllers. */
    public void servePeer(Request call, Consumer<Response> reply) {
        tell(new FromPeer(call, reply, loop.nowMs()));
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof Begin) {
            long surelyMs = deployment.cancellationBoundMs(leaderLeaseMs / 1000.0);
            if (surelyMs > deployment.cancelTimeoutMs()) {
                log.warn(
                        "cancel_s is {} s, but a cancelled task on a machine that can't be reached may stay for {} s, "
                                + "as lease_s is {} s",
                        deployment.cancelTimeoutS(),
                        surelyMs / 1000.0,
                        deployment.workerLeaseS());
            }
            elector.tell(new LeaderElection.Begin());
            peers.tell(new PeerMembership.Begin());
            reportRoutes.tell(new HeartbeatRouter.Begin());
            learnTypes();
        } else if (message instanceof FromOutside outside) {
            outside(outside.call(), outside.reply(), outside.at());
        } else if (message instanceof FromPeer peer) {
            peer(peer.call(), peer.reply(), peer.at());
        }
    }

    private void outside(Request call, Consumer<Response> reply, long at) {
        String path = call.path();
        if (path.equals("/hello")) {
            if (loop.nowMs() - at > WorkerProtocol.PATIENCE_MS) {
                // Its worker has given it up; to look at it would only make the next ones late too.
                reply.accept(new Response(503, new byte[0]));
            } else if (call.method().equals("POST")) {
                report(call, reply, at);
            } else {
                reply.accept(new Response(405, new byte[0]));
            }
        } else if (path.equals("/ready")) {
            links.usersHeard();
            reply.accept(new Response(call.method().equals("GET") ? isReady() ? 200 : 503 : 405, new byte[0]));
        } else if (elector.isForeign()) {
            reply.accept(new Response(503, Json.bytes(UserProtocol.error("records of another version")), 1));
        } else if (!state.reachable() && peers.withState() != null) {
            // Cut off from the state service while a peer is not: let the peer answer.
            peers.relay(
                    peers.withState(),
                    call,
                    RELAY_TIMEOUT_MS,
                    answer -> reply.accept(
                            !answer.isNone()
                                    ? answer
                                    : new Response(503, Json.bytes(UserProtocol.error("no state service")), 1)));
        } else {
            userRequests.tell(new UserRequestHandler.UserRequest(call, reply));
        }
    }

    /** In an outage that all share, leaving the balancer's list would help nobody. */
    private boolean isReady() {
        return userRequests.ready() && !elector.isForeign() && (state.reachable() || peers.withState() == null);
    }

    private void report(Request call, Consumer<Response> toWorker, long at) {
        // Whoever is told to try another controller would leave its connection behind, and there are thousands.
        Consumer<Response> reply = answer -> toWorker.accept(answer.status() == 200 ? answer : answer.last());
        if (leader == null) {
            reportRoutes.tell(new HeartbeatRouter.Came(call, reply, at));
            return;
        }
        reported(call.body(), reply, false);
    }

    private void reported(byte[] body, Consumer<Response> reply, boolean passed) {
        try {
            leader.tell(new Leader.HeartbeatReceived(WorkerProtocol.heartbeat(Json.object(body)), reply, passed));
        } catch (InvalidMessageException e) {
            reply.accept(new Response(400, Json.bytes(UserProtocol.error(e.getMessage()))));
        }
    }

    /** Reports that another controller passes on. They go no further from here. */
    private void passedReports(ReportBatch batch, Consumer<Response> reply, long at) {
        long restMs = batch.getPatienceMs() - (loop.nowMs() - at);
        ResultCollector<Outcome> outcomes = new ResultCollector<>(
                batch.getReports().size(),
                outcome(new Response(503, new byte[0])),
                all -> reply.accept(new Response(200, PeerProtocol.bytes(new Outcomes(all)))));
        // What is not answered in time is of no use to its worker, and must not keep the others.
        after(Math.max(0, restMs), outcomes::close);
        for (int i = 0; i < batch.getReports().size() && restMs > 0; i++) {
            int index = i;
            Consumer<Response> one = answer -> outcomes.put(index, outcome(answer));
            if (leader != null) {
                reported(PeerProtocol.content(batch.getReports().get(i)), one, true);
            } else {
                one.accept(new Response(
                        421,
                        Json.bytes(WorkerProtocol.redirect(
                                deployment.node().equals(elector.leader()) ? null : elector.leader()))));
            }
        }
    }

    /** Tells a controller what came of a call that it had this one make. */
    private static Consumer<Response> outcome(Consumer<Response> reply) {
        return answer -> reply.accept(new Response(200, PeerProtocol.bytes(outcome(answer))));
    }

    private static Outcome outcome(Response answer) {
        return new Outcome(answer.status(), ByteBuffer.wrap(answer.body()));
    }

    private void peer(Request call, Consumer<Response> reply, long at) {
        Object body = call.path().equals(PeerProtocol.PATH) ? PeerProtocol.body(call.body()) : null;
        if (body instanceof Pulse pulse) {
            peers.tell(new PeerMembership.Heard(pulse));
            reply.accept(new Response(200, PeerProtocol.bytes(pulse(List.of()))));
        } else if (body instanceof Grant grant) {
            reply.accept(new Response(200, PeerProtocol.bytes(TaskPlacer.place(grant, deployment.node()))));
        } else if (body instanceof ReportBatch batch) {
            passedReports(batch, reply, at);
        } else if (body instanceof StateCall passed) {
            state.pass(
                    passed.getMethod(),
                    passed.getPath(),
                    PeerProtocol.content(passed.getContent()),
                    passed.getTimeoutMs() - (loop.nowMs() - at),
                    outcome(reply));
        } else if (body instanceof LinkTable table) {
            peers.tell(new PeerMembership.LinksTold(
                    table, own -> reply.accept(new Response(200, PeerProtocol.bytes(own)))));
        } else if (body instanceof Relay relay) {
            byte[] content = relay.getContent().getBytes(java.nio.charset.StandardCharsets.UTF_8);
            Request relayed = new Request(null, relay.getMethod(), relay.getPath(), content);
            userRequests.tell(new UserRequestHandler.UserRequest(
                    relayed,
                    here(answer -> reply.accept(new Response(
                            200,
                            PeerProtocol.bytes(new Relayed(
                                    answer.status(),
                                    new String(answer.body(), java.nio.charset.StandardCharsets.UTF_8))))))));
        } else {
            reply.accept(new Response(400, new byte[0]));
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
        elector.tell(new LeaderElection.TermSeen(pulse.getTerm(), pulse.getLeader()));
    }

    private Progress progress(String job) {
        return leader != null ? leader.progress(job) : peers.progress(job);
    }

    // ---- machine types: kept in the state service, so that a cloud that is down keeps nobody out ----

    private void learnTypes() {
        if (types == null) {
            state.get(Records.TYPES, here(result -> {
                if (types == null && result instanceof Ok<Entry> ok) {
                    typesKnown(CloudClient.types(ok.value().value()));
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
                JsonNode kept = CloudClient.typesJson(known);
                // Half a list would tell users that their jobs fit nothing.
                if (Json.bytes(kept).length <= deployment.valueBytes()) {
                    state.commit(new StateStoreClient.Transaction().put(Records.TYPES, kept), result -> {});
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
    public void elected(ElectedTerm term) {
        leader = new Leader(leaderEnvironment, term, reason -> elector.tell(new LeaderElection.StepDown(reason)));
        if (types != null) {
            leader.tell(new Leader.TypesKnown(types));
        }
    }

    @Override
    public void leaseRenewed(long leaseUntilMs) {
        leader.tell(new Leader.LeaseRenewed(leaseUntilMs));
    }

    @Override
    public void deposed() {
        leader.tell(new Leader.Depose());
        leader = null;
    }
}

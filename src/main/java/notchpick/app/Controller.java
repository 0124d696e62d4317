package notchpick.app;

import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import notchpick.coordination.Deployment;
import notchpick.coordination.Tuning;
import notchpick.coordination.leader.term.LaunchCounters;
import notchpick.coordination.userapi.UserRequestHandler;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.Milliseconds;
import notchpick.transport.Actor;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;

/** One controller: receives the requests of clients and peers, and passes them to its components on its event loop. */
public final class Controller extends Actor<Controller.Message> {
    /** The messages that this actor receives. */
    public sealed interface Message {}

    /** The process has started. */
    public record Begin() implements Message {}

    private record ClientRequest(Request request, Consumer<Response> reply, long receivedAtMs) implements Message {}

    private record PeerRequest(Request request, Consumer<Response> reply, long receivedAtMs) implements Message {}

    private final Deployment deployment;
    private final long leaderLeaseMs;
    private final ControllerComponents components;
    private final ClientRequestRouter clientRequests;
    private final PeerRequestDispatcher peerRequests;
    private final MachineTypeRefresher machineTypes;

    public Controller(EventLoop loop, Deployment deployment, Tuning tuning, HttpCaller caller, Random random) {
        super(loop);
        this.deployment = deployment;
        this.leaderLeaseMs = deployment.leaderLeaseMs(tuning);
        HttpCaller callerOnLoop = (request, timeoutMs, then) -> caller.call(request, timeoutMs, onLoop(then));
        this.components = new ControllerComponents(loop, deployment, tuning, callerOnLoop, random);
        HeartbeatReceiver heartbeats = new HeartbeatReceiver(
                deployment.node(),
                loop,
                this::schedule,
                components.localLeader(),
                components.election(),
                components.heartbeatRouter());
        this.clientRequests = new ClientRequestRouter(components, heartbeats);
        this.peerRequests = new PeerRequestDispatcher(deployment.node(), loop, this::onLoop, components, heartbeats);
        this.machineTypes = new MachineTypeRefresher(
                components, deployment.maxValueBytes(), this::schedule, this::onLoop, this::typesRefreshed);
    }

    /** Serves users, workers and health checks; may be called from any thread. */
    public void serve(Request request, Consumer<Response> reply) {
        tell(new ClientRequest(request, reply, loop.nowMs()));
    }

    /** Serves the other controllers; may be called from any thread. */
    public void servePeer(Request request, Consumer<Response> reply) {
        tell(new PeerRequest(request, reply, loop.nowMs()));
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof Begin) {
            checkCancellationBound();
            components.start();
            machineTypes.refresh();
        } else if (message instanceof ClientRequest client) {
            clientRequests.route(client.request(), client.reply(), client.receivedAtMs());
        } else if (message instanceof PeerRequest peer) {
            peerRequests.dispatch(peer.request(), peer.reply(), peer.receivedAtMs());
        }
    }

    /** The launches that this controller has withheld; may be read only while no work runs on its event loop. */
    public LaunchCounters launchCounters() {
        return components.launchCounters();
    }

    private void checkCancellationBound() {
        long boundMs = deployment.cancellationBoundMs(leaderLeaseMs / Milliseconds.PER_SECOND);
        if (boundMs > deployment.cancelTimeoutMs()) {
            log.warn(
                    "cancel_s can't be met for an unreachable machine because lease_s is too long: "
                            + "cancelMs={} cancellationBoundMs={} leaseMs={}",
                    deployment.cancelTimeoutMs(),
                    boundMs,
                    deployment.workerLeaseMs());
        }
    }

    private void typesRefreshed(List<MachineType> types) {
        components.userRequests().tell(new UserRequestHandler.MachineTypesUpdated(types));
        components.localLeader().setMachineTypes(types);
    }
}

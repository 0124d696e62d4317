package notchpick.coordination.leader.heartbeat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import notchpick.coordination.leader.term.LeaderAuthority;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.Machine;
import notchpick.model.TaskAssignment;
import notchpick.model.TaskAssignment.Phase;
import notchpick.protocol.Json;
import notchpick.protocol.WorkerProtocol;
import notchpick.protocol.WorkerProtocol.Heartbeat;
import notchpick.protocol.WorkerProtocol.TaskCommand;
import notchpick.protocol.WorkerProtocol.TaskPhase;
import notchpick.protocol.WorkerProtocol.TaskStatus;
import notchpick.scheduling.NodePool;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Receives the heartbeats of workers and replies with commands. A reply may wait a short time for the allocation round
 * and the durable writes that the heartbeat made possible, so that their commands go out with it.
 */
public final class HeartbeatHandler {
    /** What the handler needs of the allocation of resources. */
    public interface AllocationRounds {
        /** Resources may have become free, or work has come: a round is due soon. */
        void request();

        /** How many rounds have begun. */
        long begun();
    }

    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);
    /** A reply waits for this part of the heartbeat period at the most. */
    private static final double MAX_WAIT_RATIO = 0.1;

    private final TermContext context;
    private final LeaderAuthority authority;
    private final AllocationRounds rounds;
    private final HeartbeatValidator validator;
    private final HeartbeatReconciler reconciler;
    private final CommandPlanner planner;
    private final Map<Machine, PendingHeartbeat> pending = new LinkedHashMap<>();
    private Response emptyReply;

    /** A heartbeat that has not been replied to, and how many rounds had begun when it came. */
    private static final class PendingHeartbeat {
        private final Consumer<Response> reply;
        private final List<TaskStatus> tasks;
        private final long roundsBegun;

        PendingHeartbeat(Consumer<Response> reply, List<TaskStatus> tasks, long roundsBegun) {
            this.reply = reply;
            this.tasks = tasks;
            this.roundsBegun = roundsBegun;
        }
    }

    public HeartbeatHandler(
            TermContext context,
            LeaderAuthority authority,
            MachineHealthMonitor health,
            TaskJournal journal,
            AllocationRounds rounds) {
        this.context = context;
        this.authority = authority;
        this.rounds = rounds;
        this.validator = new HeartbeatValidator(context.cluster(), authority, context.term());
        this.reconciler = new HeartbeatReconciler(context, health, journal);
        this.planner = new CommandPlanner(context.cluster(), authority);
    }

    /** Takes a worker's heartbeat in and replies, at once or when what it waits for has come. */
    public void receive(Heartbeat heartbeat, Consumer<Response> reply) {
        switch (validator.validate(heartbeat)) {
            case REFUSE -> reply.accept(refusal());
            case INTRODUCE_TOKEN -> introduceToken(heartbeat, reply);
            case ACCEPT -> accept(heartbeat, reply);
        }
    }

    private void introduceToken(Heartbeat heartbeat, Consumer<Response> reply) {
        List<TaskCommand> stops = planner.stopsOfEndedJobs(heartbeat.tasks());
        if (!stops.isEmpty() && !authority.holdsLease()) {
            reply.accept(refusal());
            return;
        }
        Machine machine = context.cluster().machine(heartbeat.machine());
        if (machine != null) {
            machine.recordPossibleLeaseRenewal(context.nowMs());
        }
        reply.accept(reply(stops));
    }

    private void accept(Heartbeat heartbeat, Consumer<Response> reply) {
        long now = context.nowMs();
        Machine machine = context.cluster().machineOrAdd(heartbeat.machine(), name -> unknownMachine(heartbeat, now));
        // The worker has given up waiting for the reply to an earlier heartbeat.
        refuse(machine);
        if (machine.state() == Machine.State.PROVISIONING) {
            machine.markReady(now);
            LOG.info("machine ready: machine={} bootMs={}", machine.name(), now - machine.provisionedAtMs());
        }
        boolean changed = reconciler.reconcile(machine, heartbeat, now);
        PendingHeartbeat waiting = new PendingHeartbeat(reply, heartbeat.tasks(), rounds.begun());
        pending.put(machine, waiting);
        machine.setAwaitingReply(true);
        if (!changed) {
            reply(machine);
            return;
        }
        rounds.request();
        context.timer().schedule((long) (context.heartbeatPeriodMs() * MAX_WAIT_RATIO), () -> {
            if (pending.get(machine) == waiting) {
                reply(machine);
            }
        });
    }

    private Machine unknownMachine(Heartbeat heartbeat, long now) {
        LOG.info("unknown worker registered: machine={}", heartbeat.machine());
        NodePool pool = new NodePool(heartbeat.type(), heartbeat.zone(), heartbeat.spot());
        return new Machine(heartbeat.machine(), pool, context.machineTypes().size(heartbeat.type()), now);
    }

    /** The machine's pending heartbeat, if there is one, is refused: its worker turns to another controller. */
    public void refuse(Machine machine) {
        PendingHeartbeat waiting = pending.remove(machine);
        machine.setAwaitingReply(false);
        if (waiting != null) {
            waiting.reply.accept(refusal());
        }
    }

    /** The term is over. */
    public void refuseAll() {
        List.copyOf(pending.keySet()).forEach(this::refuse);
    }

    /** Replies to every heartbeat that has nothing more to wait for. */
    public void replyToReady() {
        List<Machine> ready = new ArrayList<>();
        pending.forEach((machine, waiting) -> {
            if (!mustWait(machine, waiting)) {
                ready.add(machine);
            }
        });
        ready.forEach(this::reply);
    }

    private boolean mustWait(Machine machine, PendingHeartbeat waiting) {
        if (machine.hasLeasedResources() || waiting.roundsBegun == rounds.begun()) {
            return true;
        }
        for (TaskAssignment assignment : machine.assignments()) {
            if (assignment.phase() == Phase.PLANNED) {
                return true;
            }
        }
        for (TaskStatus status : waiting.tasks) {
            if (status.phase() == TaskPhase.EXITED && !planner.mayForget(status)) {
                return true;
            }
        }
        return false;
    }

    /** Replies to the machine's pending heartbeat now, if there is one, with all commands that are due. */
    public void reply(Machine machine) {
        PendingHeartbeat waiting = pending.remove(machine);
        machine.setAwaitingReply(false);
        if (waiting == null) {
            return;
        }
        // Time may have passed since the heartbeat came.
        if (!authority.mayRenewWorkerLease()
                || (!authority.holdsLease() && planner.mustExpire(machine, waiting.tasks))) {
            waiting.reply.accept(refusal());
            return;
        }
        List<TaskCommand> commands = planner.commands(machine, waiting.tasks);
        if (!commands.isEmpty()) {
            LOG.debug("commands sent: machine={} count={}", machine.name(), commands.size());
        }
        waiting.reply.accept(reply(commands));
    }

    private static Response refusal() {
        return Response.of(HttpStatus.SERVICE_UNAVAILABLE, Json.bytes(Json.object()));
    }

    private Response reply(List<TaskCommand> commands) {
        if (!commands.isEmpty()) {
            return Response.of(HttpStatus.OK, Json.bytes(WorkerProtocol.commands(context.term(), commands)));
        }
        // Most replies carry no command: they are serialized once.
        if (emptyReply == null) {
            emptyReply = Response.of(HttpStatus.OK, Json.bytes(WorkerProtocol.commands(context.term(), List.of())));
        }
        return emptyReply;
    }
}

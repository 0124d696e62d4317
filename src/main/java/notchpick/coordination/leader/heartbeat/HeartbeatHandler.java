package notchpick.coordination.leader.heartbeat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import notchpick.coordination.leader.term.LaunchGuard;
import notchpick.coordination.leader.term.LeaderAuthority;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.Machine;
import notchpick.model.TaskAssignment;
import notchpick.model.TaskAssignment.Phase;
import notchpick.protocol.Json;
import notchpick.protocol.WorkerProtocol;
import notchpick.protocol.WorkerProtocol.Heartbeat;
import notchpick.protocol.WorkerProtocol.StartTask;
import notchpick.protocol.WorkerProtocol.StopTask;
import notchpick.protocol.WorkerProtocol.TaskCommand;
import notchpick.protocol.WorkerProtocol.TaskPhase;
import notchpick.protocol.WorkerProtocol.TaskStatus;
import notchpick.scheduling.NodePool;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Receives worker heartbeats and replies with commands. A reply may be delayed briefly until the allocation round and
 * the durable writes that the heartbeat caused are complete, so that it can carry the resulting commands.
 */
public final class HeartbeatHandler {
    /** Requests allocation rounds and counts them. */
    public interface AllocationRounds {
        /** Requests a round soon, because resources may have become free or tasks may have become schedulable. */
        void request();

        /** How many rounds have started in this term. */
        long startedRounds();
    }

    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);
    /** The longest delay of a reply, as a fraction of the heartbeat period. */
    private static final double MAX_WAIT_RATIO = 0.1;

    private final TermContext context;
    private final LeaderAuthority authority;
    private final LaunchGuard launchGuard;
    private final AllocationRounds rounds;
    private final HeartbeatValidator validator;
    private final HeartbeatReconciler reconciler;
    private final CommandPlanner planner;
    private final Map<Machine, PendingHeartbeat> pending = new LinkedHashMap<>();
    private Response emptyReply;

    /** A heartbeat that has no reply yet, and how many allocation rounds had started when it arrived. */
    private static final class PendingHeartbeat {
        private final Consumer<Response> reply;
        private final List<TaskStatus> tasks;
        private final long roundsStarted;

        PendingHeartbeat(Consumer<Response> reply, List<TaskStatus> tasks, long roundsStarted) {
            this.reply = reply;
            this.tasks = tasks;
            this.roundsStarted = roundsStarted;
        }
    }

    public HeartbeatHandler(
            TermContext context,
            LeaderAuthority authority,
            LaunchGuard launchGuard,
            MachineHealthMonitor health,
            TaskJournal journal,
            AllocationRounds rounds) {
        this.context = context;
        this.authority = authority;
        this.launchGuard = launchGuard;
        this.rounds = rounds;
        this.validator = new HeartbeatValidator(context, authority);
        this.reconciler = new HeartbeatReconciler(context, health, journal);
        this.planner = new CommandPlanner(context.cluster(), authority, launchGuard, rounds);
    }

    /** Processes a worker's heartbeat; the reply is given immediately or after a delay. */
    public void receive(Heartbeat heartbeat, Consumer<Response> reply) {
        switch (validator.validate(heartbeat)) {
            case REFUSE -> reply.accept(refusal());
            case REJECT -> reply.accept(Response.of(HttpStatus.BAD_REQUEST, Json.bytes(Json.object())));
            case SEND_TOKEN -> sendToken(heartbeat, reply);
            case ACCEPT -> accept(heartbeat, reply);
        }
    }

    private void sendToken(Heartbeat heartbeat, Consumer<Response> reply) {
        List<TaskCommand> stops = planner.stopsOfEndedJobs(heartbeat.tasks());
        if (!stops.isEmpty() && !authority.hasLease()) {
            reply.accept(refusal());
            return;
        }
        Machine machine = context.cluster().machine(heartbeat.machine());
        if (machine != null) {
            machine.recordPossibleLeaseRenewal(context.nowMs());
        }
        reply.accept(commandsResponse(stops));
    }

    private void accept(Heartbeat heartbeat, Consumer<Response> reply) {
        long nowMs = context.nowMs();
        Machine machine = context.cluster().machineOrAdd(heartbeat.machine(), name -> newMachine(heartbeat, nowMs));
        correctPool(machine, heartbeat);
        // A worker sends its next heartbeat only after it has stopped waiting for the reply to the previous one.
        refuse(machine);
        if (machine.state() == Machine.State.PROVISIONING) {
            machine.markReady(nowMs);
            LOG.info("machine ready: machine={} bootMs={}", machine.name(), nowMs - machine.provisionedAtMs());
        }
        boolean changed = reconciler.reconcile(machine, heartbeat, nowMs);
        PendingHeartbeat waiting = new PendingHeartbeat(reply, heartbeat.tasks(), rounds.startedRounds());
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

    private Machine newMachine(Heartbeat heartbeat, long nowMs) {
        LOG.info("unknown worker registered: machine={}", heartbeat.machine());
        NodePool pool = new NodePool(heartbeat.type(), heartbeat.zone(), heartbeat.spot());
        return new Machine(heartbeat.machine(), pool, context.machineTypes().size(heartbeat.type()), nowMs);
    }

    /** Takes up the machine's type, zone and kind from its worker, which knows them best. */
    private void correctPool(Machine machine, Heartbeat heartbeat) {
        NodePool reported = new NodePool(heartbeat.type(), heartbeat.zone(), heartbeat.spot());
        if (machine.pool().equals(reported)) {
            return;
        }
        if (!machine.pool().isUnknown()) {
            LOG.warn(
                    "machine is not what was recorded: machine={} recorded={} reported={} term={}",
                    machine.name(),
                    machine.pool(),
                    reported,
                    context.term());
        }
        machine.correctPool(reported, context.machineTypes().size(reported.type()));
    }

    /** Refuses the machine's pending heartbeat, if any; its worker then tries another controller. */
    public void refuse(Machine machine) {
        PendingHeartbeat waiting = pending.remove(machine);
        machine.setAwaitingReply(false);
        if (waiting != null) {
            waiting.reply.accept(refusal());
        }
    }

    /** Refuses every pending heartbeat, at the end of the term. */
    public void refuseAll() {
        List.copyOf(pending.keySet()).forEach(this::refuse);
    }

    /** Replies to every pending heartbeat whose allocation round and durable writes are complete. */
    public void replyToReady() {
        List<Machine> ready = new ArrayList<>();
        pending.forEach((machine, waiting) -> {
            if (!hasPendingWork(machine, waiting)) {
                ready.add(machine);
            }
        });
        ready.forEach(this::reply);
    }

    private boolean hasPendingWork(Machine machine, PendingHeartbeat waiting) {
        if (machine.hasLeasedResources() || waiting.roundsStarted == rounds.startedRounds()) {
            return true;
        }
        for (TaskAssignment assignment : machine.assignments()) {
            if (assignment.phase() == Phase.PLANNED) {
                return true;
            }
        }
        for (TaskStatus status : waiting.tasks) {
            if (status.phase() == TaskPhase.EXITED && !planner.canForget(status)) {
                return true;
            }
        }
        return false;
    }

    /** Replies to the machine's pending heartbeat, if any, with all commands that are due. */
    public void reply(Machine machine) {
        PendingHeartbeat waiting = pending.remove(machine);
        machine.setAwaitingReply(false);
        if (waiting == null) {
            return;
        }
        // The authority may have lapsed since the heartbeat was validated.
        if (!authority.canRenewWorkerLease()
                || (!authority.hasLease() && planner.isRenewalForbidden(machine, waiting.tasks))) {
            waiting.reply.accept(refusal());
            return;
        }
        List<TaskCommand> commands = planner.planCommands(machine, waiting.tasks);
        commands.removeIf(command -> command instanceof StartTask start && !launchGuard.verifyStart(machine, start));
        logCommands(machine, commands);
        waiting.reply.accept(commandsResponse(commands));
    }

    private void logCommands(Machine machine, List<TaskCommand> commands) {
        if (commands.isEmpty() || !LOG.isInfoEnabled()) {
            return;
        }
        StringBuilder starts = new StringBuilder();
        StringBuilder stops = new StringBuilder();
        for (TaskCommand command : commands) {
            if (command instanceof StartTask) {
                append(starts, command);
            } else if (command instanceof StopTask) {
                append(stops, command);
            }
        }
        if (starts.length() + stops.length() > 0) {
            LOG.info(
                    "commands sent: machine={} type={} zone={} spot={} term={} starts=[{}] stops=[{}]",
                    machine.name(),
                    machine.type(),
                    machine.zone(),
                    machine.isSpot(),
                    context.term(),
                    starts,
                    stops);
        }
    }

    private static void append(StringBuilder list, TaskCommand command) {
        list.append(list.isEmpty() ? "" : " ")
                .append(command.task())
                .append('#')
                .append(command.attempt());
    }

    private static Response refusal() {
        return Response.of(HttpStatus.SERVICE_UNAVAILABLE, Json.bytes(Json.object()));
    }

    private Response commandsResponse(List<TaskCommand> commands) {
        if (!commands.isEmpty()) {
            return Response.of(HttpStatus.OK, Json.bytes(WorkerProtocol.commands(context.term(), commands)));
        }
        // Most replies carry no command, so this one is serialized only once.
        if (emptyReply == null) {
            emptyReply = Response.of(HttpStatus.OK, Json.bytes(WorkerProtocol.commands(context.term(), List.of())));
        }
        return emptyReply;
    }
}

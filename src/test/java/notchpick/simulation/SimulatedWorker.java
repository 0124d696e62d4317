package notchpick.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import notchpick.protocol.Json;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.Resources;
import notchpick.transport.HttpCaller;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;

/** A worker that implements the published protocol: sends heartbeats to a controller and carries out its orders. */
public final class SimulatedWorker {
    /** How the tasks of submitted jobs behave when they run. */
    public interface JobBehavior {
        /** The resources that each task of the job takes; null if there is no job with this id. */
        Resources demand(String job);

        /** How long the task runs without interruption, in milliseconds. */
        long runMs(String task);

        /** Whether tasks of the job save checkpoints. */
        boolean savesCheckpoints(String job);

        /** Whether the job's tasks end with an error on every machine. */
        boolean fails(String job);
    }

    /** Receives the events of a worker. */
    public interface Listener {
        /** A worker sends this heartbeat. */
        default void heartbeatSent(byte[] heartbeat) {}

        /** A task has completed. */
        default void taskCompleted(String task) {}

        /** A worker carries out a start order that was sent under this fencing token. */
        default void startOrdered(long token) {}

        /** A worker accepts an answer with this fencing token, which renews its lease. */
        default void leaseRenewed(String worker, long token, long heartbeatSentAtMs) {}

        /** A start order was lost because messages to the worker are lost. */
        default void startOrderLost() {}

        /** A worker drops an answer because it has seen a higher fencing token. */
        default void staleAnswerDropped() {}
    }

    /** The worker's state when it sent a heartbeat, which is compared with its state when the answer arrives. */
    private record SentHeartbeat(long sentAtMs, long incarnation, ArrayNode tasks) {}

    /** The address that every worker announces for direct commands. */
    static final String ADDRESS = "10.1.0.1:9000";
    /** A heartbeat without an answer counts as failed after this time; a later answer is dropped. */
    static final int ANSWER_TIMEOUT_MS = 4000;

    private static final long MIN_HEARTBEAT_INTERVAL_MS = 500;
    private static final long REDIRECT_DELAY_MS = 100;
    private static final long NEXT_CONTROLLER_DELAY_MS = 1000;
    /** Varies the interval between a worker's heartbeats, so that workers do not all send at once. */
    private static final long JITTER_STEP_MS = 131;

    private static final Response MALFORMED = Response.empty(400);
    private static final Response STALE = Response.empty(409);
    private static final Response ACCEPTED = Response.empty(200);

    private final RentedMachine machine;
    private final HttpCaller caller;
    private final WorkerEnvironment environment;
    private final SimulatedTime time;
    private final List<String> controllers;
    private final WorkerFaults faults = new WorkerFaults();
    private final WorkerTasks tasks;
    private final WorkerLease lease;
    private Double reclaimNoticeS;
    private long sequence;
    private int controllerIndex;
    private boolean isAwaitingAnswer;
    private long lastHeartbeatAtMs;
    private long nextHeartbeatAtMs;

    /** Starts a worker and schedules its first heartbeat for now. */
    public SimulatedWorker(RentedMachine machine, HttpCaller caller, WorkerEnvironment environment) {
        this.machine = machine;
        this.caller = caller;
        this.environment = environment;
        this.time = environment.time();
        this.controllers = List.copyOf(environment.controllers().keySet());
        this.controllerIndex = Math.floorMod(machine.name().hashCode(), controllers.size());
        this.tasks = new WorkerTasks(machine, environment, faults, this::reportChange);
        this.lease = new WorkerLease(time, environment.timing().leaseMs(), faults, this::leaseExpired);
        lease.scheduleExpiry();
        scheduleHeartbeat(time.nowMs());
    }

    public String name() {
        return machine.name();
    }

    public MachineType type() {
        return machine.type();
    }

    public String zone() {
        return machine.zone();
    }

    public boolean spot() {
        return machine.spot();
    }

    /** Names of the tasks that are fetching, running or saving. */
    public List<String> tasks() {
        return tasks.active();
    }

    /** Stops the machine and all its tasks for good. */
    public void terminate() {
        faults.setTerminated();
        tasks.killAll();
    }

    /** Hangs the machine, or resumes it; on resuming it handles what was due while it hung. */
    public void setHanging(boolean active) {
        if (active) {
            faults.startHanging();
        } else {
            faults.stopHanging();
            scheduleHeartbeat(time.nowMs());
        }
    }

    /** Starts or stops losing all messages to the worker, while its heartbeats still arrive. */
    public void setInboundLost(boolean active) {
        faults.setInboundLost(active);
    }

    /** Starts or stops losing the worker's heartbeats. */
    public void setOutboundLost(boolean active) {
        faults.setOutboundLost(active);
    }

    /** Makes every task on the machine fail soon after its start from now on. */
    public void setFaulty() {
        faults.setFaulty();
    }

    /** Announces that the cloud reclaims the machine after this many seconds. */
    public void announceReclaim(double seconds) {
        reclaimNoticeS = seconds;
        reportChange();
    }

    /** Whether a controller should start tasks here: no fault is active and no reclaim is announced. */
    public boolean canStartTasks() {
        return faults.isHealthy() && reclaimNoticeS == null;
    }

    private void leaseExpired() {
        environment.invariants().recordKilledByLeaseExpiry(tasks.active().size());
        tasks.killAll();
        reportChange();
    }

    private void scheduleHeartbeat(long atMs) {
        long scheduledAtMs = Math.max(atMs, lastHeartbeatAtMs + MIN_HEARTBEAT_INTERVAL_MS);
        nextHeartbeatAtMs = scheduledAtMs;
        time.schedule(scheduledAtMs - time.nowMs(), () -> {
            if (nextHeartbeatAtMs == scheduledAtMs) {
                sendHeartbeat();
            }
        });
    }

    private void reportChange() {
        if (!isAwaitingAnswer) {
            scheduleHeartbeat(Math.min(nextHeartbeatAtMs, time.nowMs()));
        }
    }

    private void sendHeartbeat() {
        if (faults.isTerminated() || faults.isHanging() || isAwaitingAnswer) {
            return;
        }
        isAwaitingAnswer = true;
        lastHeartbeatAtMs = time.nowMs();
        SentHeartbeat sent = new SentHeartbeat(time.nowMs(), lease.incarnation(), tasks.toHeartbeat());
        byte[] heartbeat = Json.bytes(heartbeat(sent.tasks()));
        environment.listener().heartbeatSent(heartbeat);
        if (faults.isOutboundLost()) {
            time.schedule(ANSWER_TIMEOUT_MS, () -> handleAnswer(Response.UNANSWERED, sent));
            return;
        }
        String address = environment.controllers().get(controllers.get(controllerIndex));
        caller.call(
                new Request(address, "POST", "/hello", heartbeat),
                ANSWER_TIMEOUT_MS,
                answer -> receiveAnswer(answer, sent));
    }

    private ObjectNode heartbeat(ArrayNode taskList) {
        ObjectNode body = Json.object()
                .put("box", machine.name())
                .put("address", ADDRESS)
                .put("boxKind", machine.type().name())
                .put("site", machine.zone())
                .put("borrowed", machine.spot())
                .put("shift", lease.incarnation())
                .put("tally", ++sequence)
                .put("mandate", lease.token())
                .put("recallS", reclaimNoticeS);
        body.set("pieces", taskList);
        return body;
    }

    private void receiveAnswer(Response answer, SentHeartbeat sent) {
        if (!faults.isInboundLost()) {
            handleAnswer(answer, sent);
            return;
        }
        if (answer.status() == 200) {
            Json.object(answer.body()).path("orders").forEach(order -> {
                if (isStart(order)) {
                    environment.listener().startOrderLost();
                }
            });
        }
        time.schedule(
                sent.sentAtMs() + ANSWER_TIMEOUT_MS - time.nowMs(), () -> handleAnswer(Response.UNANSWERED, sent));
    }

    private void handleAnswer(Response answer, SentHeartbeat sent) {
        if (faults.isHanging() && !faults.isTerminated()) {
            faults.defer(() -> handleAnswer(isTimedOut(sent) ? Response.UNANSWERED : answer, sent));
            return;
        }
        isAwaitingAnswer = false;
        if (faults.isTerminated()) {
            return;
        }
        switch (answer.status()) {
            case 200 -> handleOrders(Json.object(answer.body()), sent);
            case 421 ->
                followRedirect(Json.object(answer.body()).path("foreman").asText());
            default -> tryNextController();
        }
    }

    private boolean isTimedOut(SentHeartbeat sent) {
        return time.nowMs() - sent.sentAtMs() >= ANSWER_TIMEOUT_MS;
    }

    private void handleOrders(ObjectNode answer, SentHeartbeat sent) {
        long token = answer.path("mandate").asLong(-1);
        boolean isNewTerm = token > lease.token();
        if (token < lease.token()) {
            environment.listener().staleAnswerDropped();
        } else if (sent.incarnation() == lease.incarnation()) {
            lease.raiseToken(token);
            lease.renew(sent.sentAtMs());
            environment.listener().leaseRenewed(name(), token, sent.sentAtMs());
            executeAll(answer.path("orders"));
        }
        boolean hasChanged =
                isNewTerm || !sent.tasks().equals(tasks.toHeartbeat()) || sent.incarnation() != lease.incarnation();
        scheduleHeartbeat(hasChanged ? time.nowMs() : nextPeriodicHeartbeatAtMs());
    }

    private long nextPeriodicHeartbeatAtMs() {
        long periodMs = environment.timing().heartbeatPeriodMs();
        return lastHeartbeatAtMs + periodMs * 3 / 4 + sequence * JITTER_STEP_MS % (periodMs / 2);
    }

    private void followRedirect(String leader) {
        if (controllers.contains(leader) && controllers.indexOf(leader) != controllerIndex) {
            controllerIndex = controllers.indexOf(leader);
            scheduleHeartbeat(time.nowMs() + REDIRECT_DELAY_MS);
        } else {
            tryNextController();
        }
    }

    private void tryNextController() {
        controllerIndex = (controllerIndex + 1) % controllers.size();
        scheduleHeartbeat(time.nowMs() + NEXT_CONTROLLER_DELAY_MS);
    }

    private static boolean isStart(JsonNode order) {
        return order.path("orderKind").asText().equals("run");
    }

    private void executeAll(JsonNode orders) {
        for (JsonNode order : orders) {
            if (isStart(order)) {
                environment.listener().startOrdered(lease.token());
            }
            tasks.execute(order);
        }
    }

    /** Handles a direct command; rejects it if its fencing token is older or it is for another incarnation. */
    public Response handleCommand(ObjectNode body) {
        if (!body.has("mandate") || !body.has("shift")) {
            return MALFORMED;
        }
        if (faults.isTerminated() || faults.isHanging() || faults.isInboundLost()) {
            return Response.UNANSWERED;
        }
        long token = body.path("mandate").asLong();
        if (token < lease.token() || body.path("shift").asLong() != lease.incarnation()) {
            return STALE;
        }
        lease.raiseToken(token);
        executeAll(body.path("orders"));
        reportChange();
        return ACCEPTED;
    }
}

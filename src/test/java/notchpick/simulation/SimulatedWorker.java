package notchpick.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import notchpick.protocol.Json;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.Resources;
import notchpick.transport.HttpCaller;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;

/** A worker, written from its published protocol. */
public final class SimulatedWorker {
    private static final long FETCH_MS = 1000;

    /** What is true of the tasks that users submitted. */
    public interface Jobs {
        /** Null if there is no such job. */
        Resources demand(String job);

        long runMs(String task);

        boolean saves(String job);

        boolean failsEverywhere(String job);

        /** A worker sends this report. */
        default void reported(byte[] report) {}

        /** A task has completed, just now. */
        default void completed(String task) {}

        /** A worker carries out orders to start tasks that were given under this token. */
        default void startedUnder(long token) {}

        /** An order to start a task was lost on its way to a deaf machine. */
        default void lostStart() {}

        /** A worker drops an answer since it has seen a higher token. */
        default void droppedOld() {}
    }

    /** Where workers could be sent direct commands. */
    static final String ADDRESS = "10.1.0.1:9000";
    /** A worker gives a report up after so long, and drops an answer that comes later. */
    private static final long PATIENCE_MS = 4000;

    private static final Response MALFORMED = new Response(400, new byte[0]);

    private static final class Piece {
        private final String task;
        private final long attempt;
        private String state = "fetching";
        private String exit;
        private long startedAt;

        Piece(String task, long attempt) {
            this.task = task;
            this.attempt = attempt;
        }

        private boolean live() {
            return !state.equals("exited");
        }
    }

    private final SimulatedTime simulation;
    private final HttpCaller caller;
    private final InvariantChecker rules;
    private final Jobs jobs;
    private final String name;
    private final MachineType type;
    private final String zone;
    private final boolean spot;
    private final Map<String, String> controllers;
    private final List<String> nodes;
    private final long reportMs;
    private final long leaseMs;
    private final Map<String, Piece> pieces = new LinkedHashMap<>();
    /** Work saved outside the machines, by task. */
    private final Map<String, Long> saved;

    private long incarnation = 1;
    private long sequence;
    private long token;
    private int node;
    private boolean inFlight;
    private boolean dead;
    private boolean hanging;
    /** What would have happened on the machine while it hung. */
    private final List<Runnable> onWake = new ArrayList<>();
    /** Its reports arrive; what is sent to it is lost. */
    private boolean deaf;
    /** Its reports are lost. */
    private boolean mute;

    private boolean sick;
    private Double reclaimNoticeS;
    private long leaseFrom;
    private long lastReport;
    private long due;

    public SimulatedWorker(
            SimulatedTime simulation,
            HttpCaller caller,
            InvariantChecker rules,
            Jobs jobs,
            String name,
            MachineType type,
            String zone,
            boolean spot,
            Map<String, String> controllers,
            long reportMs,
            long leaseMs,
            Map<String, Long> saved) {
        this.simulation = simulation;
        this.caller = caller;
        this.rules = rules;
        this.jobs = jobs;
        this.name = name;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.controllers = controllers;
        this.nodes = List.copyOf(controllers.keySet());
        this.node = Math.floorMod(name.hashCode(), nodes.size());
        this.reportMs = reportMs;
        this.leaseMs = leaseMs;
        this.saved = saved;
        this.leaseFrom = simulation.now();
        watchLease();
        reportAt(simulation.now());
    }

    /** The machine stops with all that is on it. */
    public void die() {
        dead = true;
        killAll();
    }

    /** The machine stands still, or goes on with what came meanwhile. */
    public void hang(boolean on) {
        hanging = on;
        if (!on) {
            List<Runnable> due = List.copyOf(onWake);
            onWake.clear();
            due.forEach(Runnable::run);
            reportAt(simulation.now());
        }
    }

    public boolean hangs() {
        return hanging;
    }

    public void deaf(boolean on) {
        deaf = on;
    }

    public void mute(boolean on) {
        mute = on;
    }

    /** Whether a task could start there: it is heard, and hears, and is to stay. */
    public boolean takesPart() {
        return !dead && !hanging && !deaf && !mute && !sick && reclaimNoticeS == null;
    }

    public String name() {
        return name;
    }

    public MachineType type() {
        return type;
    }

    public String zone() {
        return zone;
    }

    public boolean spot() {
        return spot;
    }

    /** Tasks that are fetching, running or saving. */
    public List<String> tasks() {
        return pieces.values().stream()
                .filter(Piece::live)
                .map(piece -> piece.task)
                .toList();
    }

    public void sick() {
        sick = true;
    }

    /** The cloud announces that it takes the machine back after so many seconds. */
    public void notice(double seconds) {
        reclaimNoticeS = seconds;
        change();
    }

    public int live() {
        return (int) pieces.values().stream().filter(Piece::live).count();
    }

    private void killAll() {
        for (Piece piece : pieces.values()) {
            if (piece.live() && !piece.state.equals("fetching")) {
                rules.left(name, piece.task);
            }
        }
        pieces.clear();
    }

    private void watchLease() {
        long from = leaseFrom;
        simulation.after(from + leaseMs - simulation.now() + 1, () -> {
            if (dead) {
                return;
            }
            if (leaseFrom == from) {
                rules.killedByLease(live());
                killAll();
                incarnation++;
                leaseFrom = simulation.now();
                change();
            }
            watchLease();
        });
    }

    private void reportAt(long at) {
        due = Math.max(at, lastReport + 500);
        long mine = due;
        simulation.after(mine - simulation.now(), () -> {
            if (due == mine) {
                report();
            }
        });
    }

    private void change() {
        if (!inFlight) {
            reportAt(Math.min(due, simulation.now()));
        }
    }

    private void report() {
        if (dead || hanging || inFlight) {
            return;
        }
        inFlight = true;
        lastReport = simulation.now();
        long sentAt = simulation.now();
        long sentSession = incarnation;
        ObjectNode body = Json.object()
                .put("box", name)
                .put("address", ADDRESS)
                .put("boxKind", type.name())
                .put("site", zone)
                .put("borrowed", spot)
                .put("shift", incarnation)
                .put("tally", ++sequence)
                .put("mandate", token)
                .put("recallS", reclaimNoticeS);
        ArrayNode list = body.putArray("pieces");
        for (Piece piece : pieces.values()) {
            list.addObject()
                    .put("piece", piece.task)
                    .put("tryNo", piece.attempt)
                    .put("status", piece.state)
                    .put("exitCause", piece.exit);
        }
        byte[] before = Json.bytes(list);
        jobs.reported(Json.bytes(body));
        if (mute) {
            simulation.after(PATIENCE_MS, () -> answered(Response.NONE, sentAt, sentSession, before));
            return;
        }
        caller.call(
                new Request(controllers.get(nodes.get(node)), "POST", "/hello", Json.bytes(body)),
                4000,
                answer -> heard(answer, sentAt, sentSession, before));
    }

    private void heard(Response answer, long sentAt, long sentSession, byte[] before) {
        if (deaf) {
            if (answer.status() == 200) {
                Json.object(answer.body()).path("orders").forEach(order -> {
                    if (order.path("orderKind").asText().equals("run")) {
                        jobs.lostStart();
                    }
                });
            }
            simulation.after(
                    sentAt + PATIENCE_MS - simulation.now(),
                    () -> answered(Response.NONE, sentAt, sentSession, before));
        } else {
            answered(answer, sentAt, sentSession, before);
        }
    }

    private void answered(Response answer, long sentAt, long sentSession, byte[] before) {
        if (hanging && !dead) {
            // What came meanwhile is read when the machine goes on, unless the report was given up by then.
            onWake.add(() -> answered(
                    simulation.now() - sentAt < PATIENCE_MS ? answer : Response.NONE, sentAt, sentSession, before));
            return;
        }
        inFlight = false;
        if (dead) {
            return;
        }
        if (answer.status() == 200) {
            ObjectNode body = Json.object(answer.body());
            long given = body.path("mandate").asLong(-1);
            boolean news = given > token;
            if (given >= token && sentSession == incarnation) {
                token = given;
                leaseFrom = Math.max(leaseFrom, sentAt);
                watchLease();
                executeAll(body.path("orders"));
            } else if (given < token) {
                jobs.droppedOld();
            }
            ObjectNode now = Json.object();
            ArrayNode list = now.putArray("pieces");
            for (Piece piece : pieces.values()) {
                list.addObject()
                        .put("piece", piece.task)
                        .put("tryNo", piece.attempt)
                        .put("status", piece.state)
                        .put("exitCause", piece.exit);
            }
            boolean changed = news || !java.util.Arrays.equals(before, Json.bytes(list)) || sentSession != incarnation;
            reportAt(changed ? simulation.now() : lastReport + reportMs * 3 / 4 + sequence * 131 % (reportMs / 2));
        } else if (answer.status() == 421) {
            String leader = Json.object(answer.body()).path("foreman").asText();
            if (nodes.contains(leader) && nodes.indexOf(leader) != node) {
                node = nodes.indexOf(leader);
                reportAt(simulation.now() + 100);
            } else {
                nextNode();
            }
        } else {
            nextNode();
        }
    }

    private void nextNode() {
        node = (node + 1) % nodes.size();
        reportAt(simulation.now() + 1000);
    }

    private void executeAll(JsonNode orders) {
        for (JsonNode order : orders) {
            if (order.path("orderKind").asText().equals("run")) {
                jobs.startedUnder(token);
            }
            execute(order);
        }
    }

    /** Serves a direct command: carried out only under the newest token, for the present session. */
    public Response command(ObjectNode body) {
        if (!body.has("mandate") || !body.has("shift")) {
            return MALFORMED;
        }
        if (dead || hanging || deaf) {
            return Response.NONE;
        }
        long given = body.path("mandate").asLong();
        if (given < token || body.path("shift").asLong() != incarnation) {
            return new Response(409, new byte[0]);
        }
        token = given;
        executeAll(body.path("orders"));
        change();
        return new Response(200, new byte[0]);
    }

    private void execute(JsonNode order) {
        String task = order.path("piece").asText();
        long attempt = order.path("tryNo").asLong();
        String key = task + "#" + attempt;
        Piece piece = pieces.get(key);
        switch (order.path("orderKind").asText()) {
            case "run" -> {
                if (piece == null) {
                    rules.ordered(name, task, reportMs + PATIENCE_MS);
                    start(key, new Piece(task, attempt));
                }
            }
            case "halt" -> {
                if (piece != null && piece.live()) {
                    stop(piece, order.path("windDownS").asDouble());
                }
            }
            default -> {
                if (piece != null && !piece.live()) {
                    pieces.remove(key);
                }
            }
        }
    }

    private void start(String key, Piece piece) {
        String job = piece.task.split("/")[0];
        boolean present = pieces.values().stream().anyMatch(p -> p.live() && p.task.equals(piece.task));
        pieces.put(key, piece);
        Resources demand = jobs.demand(job);
        Resources used = Resources.NONE;
        for (Piece other : pieces.values()) {
            if (other.live() && other != piece) {
                used = used.plus(jobs.demand(other.task.split("/")[0]));
            }
        }
        if (demand == null) {
            exit(piece, "unknown");
        } else if (present) {
            exit(piece, "in_use");
        } else if (!demand.fitsIn(type.size().minus(used))) {
            exit(piece, "full");
        } else {
            simulation.after(FETCH_MS, () -> run(key, piece, job));
        }
    }

    private boolean here(String key, Piece piece) {
        return !dead && pieces.get(key) == piece && piece.live();
    }

    private void run(String key, Piece piece, String job) {
        if (!here(key, piece)) {
            return;
        }
        if (hanging) {
            onWake.add(() -> run(key, piece, job));
            return;
        }
        piece.state = "running";
        piece.startedAt = simulation.now();
        rules.started(name, piece.task, type.name(), zone, spot);
        change();
        long rest = rules.isComplete(piece.task) ? 0 : jobs.runMs(piece.task) - saved.getOrDefault(piece.task, 0L);
        simulation.after(Math.max(10, sick ? 200 : rest), () -> end(key, piece, job));
    }

    private void end(String key, Piece piece, String job) {
        if (!here(key, piece) || !piece.state.equals("running")) {
            return;
        }
        if (hanging) {
            onWake.add(() -> end(key, piece, job));
            return;
        }
        rules.left(name, piece.task);
        if (sick || jobs.failsEverywhere(job)) {
            exit(piece, "error");
        } else {
            rules.completed(piece.task);
            exit(piece, "done");
            jobs.completed(piece.task);
        }
    }

    private void stop(Piece piece, double graceS) {
        String job = piece.task.split("/")[0];
        if (piece.state.equals("running") && graceS > 0 && jobs.saves(job)) {
            piece.state = "saving";
            simulation.after(1000, () -> {
                if (!dead && pieces.containsValue(piece) && piece.state.equals("saving")) {
                    saved.merge(piece.task, simulation.now() - piece.startedAt, Long::sum);
                    rules.left(name, piece.task);
                    exit(piece, "stopped");
                }
            });
            change();
        } else if (piece.state.equals("saving") && graceS > 0) {
            return;
        } else {
            if (!piece.state.equals("fetching")) {
                rules.left(name, piece.task);
            }
            exit(piece, "stopped");
        }
    }

    private void exit(Piece piece, String why) {
        piece.state = "exited";
        piece.exit = why;
        change();
    }
}

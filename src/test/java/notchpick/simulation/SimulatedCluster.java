package notchpick.simulation;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import notchpick.app.Controller;
import notchpick.coordination.Deployment;
import notchpick.coordination.Deployment.Peer;
import notchpick.coordination.Deployment.Quota;
import notchpick.coordination.Tuning;
import notchpick.protocol.InvalidMessageException;
import notchpick.protocol.Json;
import notchpick.protocol.UserProtocol;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.NodePool;
import notchpick.scheduling.Resources;
import notchpick.scheduling.ServiceObjectives;
import notchpick.scheduling.ServiceObjectives.Kind;
import notchpick.scheduling.ServiceObjectives.Objective;
import notchpick.storage.Records;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;

/** A whole deployment in simulated time: real controllers among stand-ins. */
public final class SimulatedCluster implements SimulatedWorker.Jobs {
    /** Report period, workers' lease and the time that a cancellation has, in seconds. */
    public record Timing(double heartbeatPeriodS, double leaseS, double cancelTimeoutS) {
        public static final Timing DEFAULT = new Timing(3, 20, 40);
    }

    /** What is counted of what a scenario may be made for; see {@link #met}. */
    public static final Set<String> MEETINGS = Set.of(
            "looks",
            "hangs",
            "cancelled-at-end",
            "ends",
            "copies",
            "copies-for-next",
            "copies-in-later-term",
            "cancellations",
            "cancelled-while-nobody-led",
            "cancelled-while-the-leader-was-refused",
            "refused-submissions",
            "untold-submissions",
            "unanswered-writes",
            "slow-packets",
            "looks-at-an-election",
            "looks-at-an-outage-end",
            "orders-of-the-deposed",
            "old-answers-dropped",
            "cancelled-just-before-the-refusal",
            "cancelled-just-after-the-refusal",
            "cancelled-with-every-team-at-its-limit");
    /** A cancellation and a refusal so close together count as of one moment. */
    private static final long SAME_MOMENT_MS = 20;
    /** A team whose room under its limit is less than this is at its limit. */
    private static final Resources LEAST_ROOM = new Resources(1, 0, 0);

    private static final long LOOK_MS = 2;

    private static final List<String> ZONES = List.of("east", "west");
    private static final String STATE = "10.2.0.1:2379";
    private static final String CLOUD = "10.2.0.2:8443";

    /** What the state service takes: bytes in a value, changes in a transaction, changes in a second. */
    public record Limits(int valueBytes, int txnOps, double writesPerS) {}

    /** A job as the scenario describes it, beyond what the service is told. */
    private record Truth(JobSpec spec, ObjectNode body, long runMs, double vary, boolean fails) {}

    private final SimulatedTime simulation = new SimulatedTime();
    private final SimulatedNetwork network = new SimulatedNetwork(simulation);
    private final Map<String, Integer> lives = new HashMap<>();
    private final Map<String, Long> frozenUntil = new HashMap<>();
    private final Map<String, Controller> controllers = new LinkedHashMap<>();
    private final Map<String, String> addresses = new LinkedHashMap<>();
    private final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();
    private final Map<String, String> zones = new HashMap<>();
    private final Map<String, Long> saved = new HashMap<>();
    private final Map<String, Truth> truths = new LinkedHashMap<>();
    private final Map<String, String> status = new LinkedHashMap<>();
    private final Map<String, Integer> lastStatus = new HashMap<>();
    private final Map<Integer, Integer> stormAnswers = new HashMap<>();
    /** How often what a scenario was made for has come about. */
    private final Map<String, Integer> met = new LinkedHashMap<>();

    private final Random chance = new Random(11);
    private final Timing timing;
    private final HeartbeatDuplicator copies;
    private double cancelAtEndShare;
    private boolean closeLooks;
    /** The last term whose leader crashed. */
    private int endedTerm;

    private final List<Quota> teams;
    private final double requestsPerS;
    private final Limits limits;
    private final Limits next;
    private final boolean nextIsNews;
    private final InvariantChecker rules;
    private final SimulatedStateStore state;
    private final SimulatedCloud cloud;
    private final List<String> nodes = new ArrayList<>();
    private final Map<String, String> names = new HashMap<>();
    private boolean looksAtElections;
    private int lostStarts;
    private long refusedAt = Long.MIN_VALUE / 2;
    private int turn;
    private int turnedAway;
    private int untold;

    /**
     * @param next limits that will hold from some moment on
     * @param nextIsNews whether a controller keeps to those only from its second life on, as in a roll
     */
    public SimulatedCluster(
            int count,
            List<Quota> teams,
            List<MachineType> machineTypes,
            double requestsPerS,
            double writesPerS,
            Limits next,
            boolean nextIsNews) {
        this(count, teams, machineTypes, requestsPerS, writesPerS, next, nextIsNews, Timing.DEFAULT);
    }

    public SimulatedCluster(
            int count,
            List<Quota> teams,
            List<MachineType> machineTypes,
            double requestsPerS,
            double writesPerS,
            Limits next,
            boolean nextIsNews,
            Timing timing) {
        this.timing = timing;
        this.copies = new HeartbeatDuplicator(simulation, chance, (long) (timing.leaseS() * 1000), new CopyHost());
        this.teams = teams;
        this.requestsPerS = requestsPerS;
        this.limits = new Limits(SimulatedStateStore.MAX_VALUE_BYTES, 12, writesPerS);
        this.next = next == null ? limits : next;
        this.nextIsNews = nextIsNews;
        Map<String, Double> limits = new HashMap<>();
        teams.stream()
                .filter(t -> t.maximum().cores() > 0)
                .forEach(t -> limits.put(t.team(), t.maximum().cores()));
        rules = new InvariantChecker(simulation::now, (long) (timing.cancelTimeoutS() * 1000), limits);
        state = new SimulatedStateStore(simulation::now, simulation::after, 12, requestsPerS, writesPerS);
        Map<String, MachineType> types = new LinkedHashMap<>();
        machineTypes.forEach(type -> types.put(type.name(), type));
        for (int i = 0; i < count; i++) {
            nodes.add("node-" + i);
            addresses.put("node-" + i, "10.0.0." + (i + 1) + ":8080");
        }
        cloud = new SimulatedCloud(simulation::now, simulation::after, types, this::up, this::gone);
        network.serve(STATE, "state", state);
        state.whenPut(Records.LEADER, () -> {
            if (looksAtElections) {
                lookAtLatest("looks-at-an-election");
            }
        });
        network.serve(CLOUD, "cloud", cloud);
        for (String zone : ZONES) {
            List.of("state", "cloud", "user").forEach(host -> network.join(host, "outside-" + zone));
        }
        nodes.forEach(node -> {
            network.join(node, "controllers");
            place(node, ZONES.get(nodes.indexOf(node) % ZONES.size()));
        });
        nodes.forEach(this::begin);
    }

    /** Cuts and heals may name hosts in a zone, and all that are not in it. */
    private void place(String host, String zone) {
        for (String other : ZONES) {
            network.join(host, other.equals(zone) ? "zone-" + zone : "outside-" + other);
        }
    }

    /** From now on all messages and transactions are written down. */
    public void record(Transcript transcript) {
        network.record(transcript);
        state.record(transcript);
    }

    public SimulatedTime simulation() {
        return simulation;
    }

    public SimulatedNetwork network() {
        return network;
    }

    public SimulatedStateStore state() {
        return state;
    }

    public SimulatedCloud cloud() {
        return cloud;
    }

    /** From now on the state service takes no more than was announced. */
    public void limitsFall() {
        state.limits(next.valueBytes(), next.txnOps(), next.writesPerS());
    }

    public InvariantChecker rules() {
        return rules;
    }

    public List<String> nodes() {
        return nodes;
    }

    public List<SimulatedWorker> workers() {
        return List.copyOf(workers.values());
    }

    /** Names of the machines that are up, in the order in which they came up. */
    public List<String> machines() {
        return List.copyOf(workers.keySet());
    }

    public SimulatedWorker worker(String name) {
        return workers.get(name);
    }

    /** Whether anybody submitted the job. */
    public boolean knows(String job) {
        return truths.containsKey(job) || lastStatus.containsKey(job);
    }

    public String told(String job) {
        return status.getOrDefault(job, "nothing");
    }

    /** Submissions that were turned away for a while. */
    public int turnedAway() {
        return turnedAway;
    }

    /** Those of them that were not told when to come back. */
    public int untold() {
        return untold;
    }

    public int lastStatus(String job) {
        return lastStatus.getOrDefault(job, 0);
    }

    /** The controller that holds the leader's key; null: none does. */
    public String leader() {
        var value = state.value(Records.LEADER);
        return value == null ? null : value.path("node").asText();
    }

    /** The newest term; 0: nobody has led yet. */
    public int term() {
        var value = state.value(Records.TERM);
        return value == null ? 0 : value.path("term").asInt();
    }

    private static String peerAddress(int index) {
        return "10.0.0." + (index + 1) + ":8081";
    }

    /** Starts a controller's process anew. */
    public void begin(String node) {
        int index = nodes.indexOf(node);
        int life = lives.merge(node, 1, Integer::sum);
        Limits known = nextIsNews && life == 1 ? limits : next;
        List<Peer> peers = new ArrayList<>();
        for (String other : nodes) {
            if (!other.equals(node)) {
                peers.add(new Peer(other, peerAddress(nodes.indexOf(other))));
            }
        }
        Deployment deployment = new Deployment(
                node,
                addresses.get(node),
                peerAddress(index),
                peers,
                CLOUD,
                STATE,
                ZONES,
                teams,
                new ServiceObjectives(Map.of("slow", List.of(new Objective(Kind.FINISHED, 300)))),
                timing.heartbeatPeriodS(),
                timing.leaseS(),
                timing.cancelTimeoutS(),
                requestsPerS,
                known.writesPerS(),
                known.valueBytes(),
                known.txnOps(),
                10,
                3,
                1000);
        // Clocks at the edges of their bounds.
        double fast = index == 0 ? 0.05 : index == 1 ? -0.05 : 0;
        var loop = simulation.loop(
                fast, index * 100L - 100, () -> lives.get(node) == life, () -> frozenUntil.getOrDefault(node, 0L));
        Controller controller = new Controller(
                loop,
                deployment,
                Tuning.DEFAULT,
                network.from(node, () -> lives.get(node) == life),
                new Random(7L * index + life));
        controllers.put(node, controller);
        network.serve(addresses.get(node), node, controller::serve);
        network.serve(peerAddress(index), node, controller::servePeer);
        controller.tell(new Controller.Begin());
    }

    /** Ends a controller's process; a negative time: it does not restart. */
    public void crash(String node, long restartMs) {
        if (node.equals(leader())) {
            endedTerm = term();
        }
        int index = nodes.indexOf(node);
        lives.merge(node, 1, Integer::sum);
        network.vanish(addresses.get(node));
        network.vanish(peerAddress(index));
        if (restartMs >= 0) {
            simulation.after(restartMs, () -> begin(node));
        }
    }

    /** The host goes silent: nothing refuses, nothing answers. When its power is back the process begins anew. */
    public void silence(String node, long forMs) {
        crash(node, forMs);
        network.dark(node, true);
        simulation.after(forMs, () -> network.dark(node, false));
    }

    /** The process stands still while its clocks run on; what is sent to it waits. */
    public void freeze(String node, long forMs) {
        long until = simulation.now() + forMs;
        frozenUntil.put(node, until);
        network.freeze(node, until);
    }

    private void up(SimulatedCloud.Rented rented) {
        zones.put(rented.name, rented.zone);
        network.join(rented.name, "workers");
        network.join(rented.name, "workers-" + rented.zone);
        place(rented.name, rented.zone);
        workers.put(
                rented.name,
                new SimulatedWorker(
                        simulation,
                        network.from(rented.name, () -> true),
                        rules,
                        this,
                        rented.name,
                        rented.type,
                        rented.zone,
                        rented.spot,
                        addresses,
                        (long) (timing.heartbeatPeriodS() * 1000),
                        (long) (timing.leaseS() * 1000),
                        saved));
    }

    private void gone(String name) {
        SimulatedWorker worker = workers.remove(name);
        if (worker != null) {
            worker.die();
        }
    }

    // ---- users ---------------------------------------------------------------------------------

    /** @param vary by what part of the run time single tasks run shorter or longer */
    public void submit(ObjectNode body, double runS, double vary, boolean fails) throws InvalidMessageException {
        JobSpec spec = UserProtocol.submission(body, 0);
        truths.put(spec.id(), new Truth(spec, body, (long) (runS * 1000), vary, fails));
        rules.submitted(spec);
        submit(spec.id(), body, simulation.now() + 60_000);
    }

    private String anyNode() {
        for (int i = 0; i < nodes.size(); i++) {
            String node = nodes.get(turn++ % nodes.size());
            if (lives.get(node) % 2 == 1) {
                return node;
            }
        }
        return nodes.get(0);
    }

    /** Sends a submission once, right or wrong, and notes the status. */
    public void send(String job, byte[] body) {
        call("POST", "/submissions", body, answer -> lastStatus.put(job, answer.status()));
    }

    /** Sends a submission that must not be accepted to every controller. */
    public void sendUnfit(String job, byte[] body) {
        rules.unfit(job);
        for (String node : nodes) {
            call(node, "POST", "/submissions", body, answer -> {
                lastStatus.put(job, answer.status());
                rules.answered(job, answer.status(), null);
                meet(answer.status() == 400 || answer.status() == 422 ? "refused-submissions" : "untold-submissions");
            });
        }
    }

    private void submit(String job, ObjectNode body, long until) {
        long askedAt = simulation.now();
        call("POST", "/submissions", Json.bytes(body), answer -> {
            lastStatus.put(job, answer.status());
            note(job, answer, askedAt);
            if (answer.status() / 100 == 2) {
                lookClosely(job);
                simulation.after(5000, () -> poll(job));
            } else if (answer.status() != 400 && answer.status() != 422 && simulation.now() < until) {
                turnedAway++;
                untold += answer.status() == 503 && answer.retryAfterS() <= 0 ? 1 : 0;
                simulation.after(1000, () -> submit(job, body, until));
            }
        });
    }

    /** Users ask so many times within a second; who gets no answer now asks no more. */
    public void storm(String job, int polls) {
        for (int i = 0; i < polls; i++) {
            simulation.after(1000L * i / polls, () -> {
                long askedAt = simulation.now();
                call("GET", "/submissions/" + job, null, answer -> {
                    note(job, answer, askedAt);
                    stormAnswers.merge(answer.status(), 1, Integer::sum);
                });
            });
        }
    }

    /** How many polls of storms were answered with this status. */
    public int stormAnswers(int ofStatus) {
        return stormAnswers.getOrDefault(ofStatus, 0);
    }

    /** Submits an accepted job once more, to one controller. */
    public void resubmit(String job) {
        long askedAt = simulation.now();
        call("POST", "/submissions", Json.bytes(truths.get(job).body()), answer -> {
            lastStatus.put(job, answer.status());
            note(job, answer, askedAt);
        });
    }

    /** Sends the submission once more, to every controller. */
    private void resubmitEverywhere(String job) {
        long askedAt = simulation.now();
        byte[] body = Json.bytes(truths.get(job).body());
        for (String node : nodes) {
            call(node, "POST", "/submissions", body, answer -> note(job, answer, askedAt));
        }
    }

    /** From now on users look, at the moment of each election, at the last jobs that they were told of. */
    public void looksAtElections(boolean on) {
        looksAtElections = on;
    }

    /** The outage of the state service begins, or ends: then users look too, if they look at elections. */
    public void outage(boolean on) {
        state.outage(on);
        if (!on && looksAtElections) {
            lookAtLatest("looks-at-an-outage-end");
        }
    }

    /** Looks at the jobs last told to be open, done and cancelled. */
    private void lookAtLatest(String meeting) {
        Map<String, String> latest = new HashMap<>();
        status.forEach((job, told) -> latest.put(InvariantChecker.isFinal(told) ? told : "open", job));
        latest.values().stream().filter(truths::containsKey).forEach(job -> {
            look(job);
            meet(meeting);
        });
    }

    /** Asks about the job at all controllers at once, a few times within milliseconds, and submits it once more at each. */
    public void look(String job) {
        resubmitEverywhere(job);
        for (int i = 0; i < 3; i++) {
            simulation.after(LOOK_MS * i, () -> {
                long askedAt = simulation.now();
                for (String node : nodes) {
                    call(node, "GET", "/submissions/" + job, null, answer -> note(job, answer, askedAt));
                }
            });
        }
        meet("looks");
    }

    private void lookClosely(String job) {
        if (closeLooks) {
            look(job);
        }
    }

    /** From now on users look at all controllers whenever one has told them something new. */
    public void closeLooks(boolean on) {
        closeLooks = on;
    }

    /** Users call off so many of the jobs that run, those with most left first, within a fifth of a second. */
    public List<String> cancelNow(int count) {
        Map<String, Integer> running = new LinkedHashMap<>();
        workers.values()
                .forEach(worker ->
                        worker.tasks().forEach(task -> running.merge(InvariantChecker.jobOf(task), 1, Integer::sum)));
        List<String> chosen = running.keySet().stream()
                .filter(job -> !rules.isCancelAsked(job))
                .sorted(Comparator.comparingLong(
                        (String job) -> -truths.get(job).runMs()))
                .limit(count)
                .toList();
        chosen.forEach(job -> simulation.after(chance.nextInt(200), () -> cancel(job)));
        return chosen;
    }

    /** Up to eight machines on which tasks of these jobs are stand still for a while. */
    public void hangMachinesOf(List<String> jobs, long forMs) {
        workers.values().stream()
                .filter(worker -> worker.tasks().stream().anyMatch(task -> jobs.contains(InvariantChecker.jobOf(task))))
                .limit(8)
                .forEach(worker -> hang(worker, forMs));
    }

    /** The worker's machine stands still for a while. */
    public void hang(SimulatedWorker worker, long forMs) {
        worker.hang(true);
        simulation.after(forMs, () -> worker.hang(false));
        meet("hangs");
    }

    /** From now on this share of the jobs is called off at the moment at which their last task ends. */
    public void cancelAtEnd(double share) {
        cancelAtEndShare = share;
    }

    @Override
    public void completed(String task) {
        String job = InvariantChecker.jobOf(task);
        Truth truth = truths.get(job);
        meet("ends");
        if (cancelAtEndShare > 0
                && rules.completed(truth.spec()) == truth.spec().tasks()
                && chance.nextDouble() < cancelAtEndShare) {
            meet("cancelled-at-end");
            cancel(job);
        }
    }

    // ---- reports that come twice ---------------------------------------------------------------

    /** See {@link HeartbeatDuplicator#set}. */
    public void lateReports(double share, boolean forNext) {
        copies.set(share, forNext);
    }

    @Override
    public void reported(byte[] report) {
        copies.reported(report);
    }

    /** What the copies of reports need of the cluster. */
    private final class CopyHost implements HeartbeatDuplicator.Host {
        @Override
        public int ledTerm() {
            return leader() == null ? 0 : term();
        }

        @Override
        public int term() {
            return SimulatedCluster.this.term();
        }

        @Override
        public void deliver(byte[] report) {
            nodes.forEach(node -> call(node, "POST", "/hello", report, answer -> {}));
        }

        @Override
        public void meet(String what) {
            SimulatedCluster.this.meet(what);
        }
    }

    // ---- what a scenario is to bring about -------------------------------------------------------

    private void meet(String what) {
        if (!MEETINGS.contains(what)) {
            throw new IllegalStateException(what);
        }
        met.merge(what, 1, Integer::sum);
    }

    /** How often something has come about that a scenario was made for. */
    public int met(String what) {
        return switch (what) {
            case "unanswered-writes" -> state.appliedUnanswered();
            case "slow-packets" -> network.delayed();
            default -> met.getOrDefault(what, 0);
        };
    }

    /** The state service answers 503 to this controller alone from now on, or no longer. */
    public void refuse(String node, boolean on) {
        state.refuse(node, on);
        if (on && node.equals(leader())) {
            refusedAt = simulation.now();
            // What was cancelled a moment before has been seen by now.
            truths.keySet().stream()
                    .filter(job -> refusedAt - state.deletedAt(Records.OPEN + job) <= SAME_MOMENT_MS)
                    .filter(job -> state.deletedAt(Records.OPEN + job) >= 0 && rules.isCancelAsked(job))
                    .forEach(job -> meet("cancelled-just-before-the-refusal"));
        }
    }

    @Override
    public void startedUnder(long token) {
        if (token < term()) {
            meet("orders-of-the-deposed");
        }
    }

    @Override
    public void lostStart() {
        lostStarts++;
    }

    /** Commands that were sent straight to workers; all orders are to ride in answers to reports. */
    public int directCommands() {
        return network.callsTo(SimulatedWorker.ADDRESS);
    }

    /** Orders to start a task that were lost on their way to deaf machines. */
    public int lostStarts() {
        return lostStarts;
    }

    @Override
    public void droppedOld() {
        meet("old-answers-dropped");
    }

    private boolean isEveryTeamAtItsLimit() {
        return teams.stream()
                .filter(team -> team.maximum().cores() > 0)
                .allMatch(team -> !team.allows(use(team.team()).plus(LEAST_ROOM)));
    }

    /** What the team's tasks hold that are on machines. */
    private Resources use(String team) {
        Resources use = Resources.NONE;
        for (SimulatedWorker worker : workers.values()) {
            for (String task : worker.tasks()) {
                JobSpec spec = truths.get(InvariantChecker.jobOf(task)).spec();
                use = spec.team().equals(team) ? use.plus(spec.demand()) : use;
            }
        }
        return use;
    }

    /** Under what circumstances a cancellation was confirmed. */
    private void noteCancellation(String job) {
        meet("cancellations");
        long afterRefusalMs = state.deletedAt(Records.OPEN + job) - refusedAt;
        if (afterRefusalMs >= 0 && afterRefusalMs <= SAME_MOMENT_MS) {
            meet("cancelled-just-after-the-refusal");
        }
        if (teams.stream().anyMatch(team -> team.maximum().cores() > 0) && isEveryTeamAtItsLimit()) {
            meet("cancelled-with-every-team-at-its-limit");
        }
        if (leader() == null || term() == endedTerm) {
            meet("cancelled-while-nobody-led");
        } else if (state.refuses(leader())) {
            meet("cancelled-while-the-leader-was-refused");
        }
    }

    /** Nothing fails from now on; whatever waits though it could start is told to the rule book. */
    public void troublesOver() {
        rules.troublesOver();
        watchWaiting();
    }

    private void watchWaiting() {
        truths.values().stream()
                .filter(truth -> status.containsKey(truth.spec().id()))
                .forEach(truth -> rules.waits(truth.spec().id(), couldStart(truth)));
        simulation.after(1000, this::watchWaiting);
    }

    private boolean couldStart(Truth truth) {
        JobSpec spec = truth.spec();
        Map<String, Integer> fellows = new HashMap<>();
        for (SimulatedWorker worker : workers.values()) {
            for (String task : worker.tasks()) {
                JobSpec other = truths.get(InvariantChecker.jobOf(task)).spec();
                if (other == spec) {
                    fellows.merge(worker.zone(), 1, Integer::sum);
                }
            }
        }
        int placed = fellows.values().stream().mapToInt(Integer::intValue).sum();
        boolean waits = !truth.fails()
                && !rules.isCancelAsked(spec.id())
                && rules.completed(spec) + placed < spec.tasks()
                && spec.dependencies().stream().allMatch(need -> "done".equals(told(need)));
        Resources wanted = use(spec.team()).plus(spec.demand());
        return waits
                && teams.stream().anyMatch(team -> team.team().equals(spec.team()) && team.allows(wanted))
                && workers.values().stream()
                        .anyMatch(worker -> worker.takesPart()
                                && spec.allows(worker.type().name(), worker.zone(), worker.spot())
                                && spec.allowsZoneAmongTasks(worker.zone(), fellows)
                                && spec.demand().fitsIn(room(worker)));
    }

    private Resources room(SimulatedWorker worker) {
        Resources room = worker.type().size();
        for (String task : worker.tasks()) {
            room = room.minus(demand(InvariantChecker.jobOf(task)));
        }
        return room;
    }

    /** Asks how the job stands, now and every five seconds until it is over. */
    public void poll(String job) {
        long askedAt = simulation.now();
        call("GET", "/submissions/" + job, null, answer -> {
            lastStatus.put(job, answer.status());
            note(job, answer, askedAt);
            String told = told(job);
            if (truths.containsKey(job) && !told.equals("done") && !told.equals("cancelled")) {
                simulation.after(5000, () -> poll(job));
            }
        });
    }

    /** Cancels the job, again and again until one controller has said how it stands. */
    public void cancel(String job) {
        rules.cancelAsked(job);
        long askedAt = simulation.now();
        call("POST", "/submissions/" + job + "/abort", new byte[0], answer -> {
            String before = told(job);
            note(job, answer, askedAt);
            if (answer.status() != 200) {
                simulation.after(1000, () -> cancel(job));
                return;
            }
            if (told(job).equals("cancelled") && !before.equals("cancelled")) {
                noteCancellation(job);
            }
            lookClosely(job);
        });
    }

    private void call(String method, String path, byte[] body, Consumer<Response> then) {
        call(anyNode(), method, path, body, then);
    }

    private void call(String node, String method, String path, byte[] body, Consumer<Response> then) {
        network.from("user", () -> true).call(new Request(addresses.get(node), method, path, body), 5000, then);
    }

    private void note(String job, Response answer, long askedAt) {
        ObjectNode body = answer.body().length == 0 ? null : Json.object(answer.body());
        String state = body == null ? null : body.path("status").asText(null);
        rules.answered(job, answer.status(), state, askedAt);
        if (answer.status() / 100 == 2) {
            String before = status.get(job);
            // Answers cross on their way: what is over stays over for whoever looks at the last word.
            if (!InvariantChecker.isFinal(before)) {
                status.put(job, state);
            }
            if ("done".equals(state) && !"done".equals(before)) {
                lookClosely(job);
            }
        }
    }

    // ---- what is true of the jobs --------------------------------------------------------------

    @Override
    public Resources demand(String job) {
        return truths.containsKey(job) ? truths.get(job).spec().demand() : null;
    }

    @Override
    public long runMs(String task) {
        Truth truth = truths.get(InvariantChecker.jobOf(task));
        // By the task's name, so that it is the same wherever it runs.
        double part = Math.floorMod(task.hashCode() * 31L, 1000) / 500.0 - 1;
        return Math.round(truth.runMs() * (1 + truth.vary() * part));
    }

    @Override
    public boolean saves(String job) {
        return truths.get(job).spec().checkpointIntervalS() > 0;
    }

    @Override
    public boolean failsEverywhere(String job) {
        return truths.get(job).fails();
    }

    public void capacity(String type, String zone, boolean spot, int most) {
        cloud.capacity(new NodePool(type, zone, spot), most);
    }

    /** Gives a controller a name by which the scenario can speak of it later. */
    public void name(String name, String node) {
        names.put(name, node);
    }

    public String named(String name) {
        return names.getOrDefault(name, name);
    }

    public String zone(String machine) {
        return zones.get(machine);
    }
}

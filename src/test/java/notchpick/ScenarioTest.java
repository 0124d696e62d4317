package notchpick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import notchpick.coordination.Deployment.Limit;
import notchpick.protocol.InvalidMessage;
import notchpick.protocol.Json;
import notchpick.scheduling.Amounts;
import notchpick.scheduling.MachineType;
import notchpick.standin.CloudStandIn.Listing;
import notchpick.standin.Network.Cut;
import notchpick.standin.SimulatedCluster;
import notchpick.standin.SimulatedCluster.Limits;
import notchpick.standin.SimulatedCluster.Timing;
import notchpick.standin.WorkerStandIn;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays every scenario under src/test/resources/scenarios. A line is {@code at SECONDS VERB WORDS...};
 * first come lines without a time that describe the deployment. See the README.
 */
@Execution(ExecutionMode.CONCURRENT)
class ScenarioTest {
    private static final List<String> STATES = List.of("queued", "running", "done", "cancelled");
    /** What may be said of a job, each with a value. */
    private static final Set<String> OPTIONS = Set.of(
            "tasks",
            "run",
            "vary",
            "needs",
            "urgency",
            "team",
            "cores",
            "gpus",
            "ram",
            "image",
            "image-length",
            "zone",
            "one-zone",
            "apart",
            "ordinary",
            "expected",
            "saves",
            "due",
            "types",
            "class",
            "form",
            "fails",
            "per-second",
            "for",
            "cancel");
    /** What a submission must not lack. */
    private static final List<String> REQUIRED = List.of(
            "workclass",
            "ownerDesk",
            "jobForm",
            "urgency",
            "pieces",
            "cores",
            "gpus",
            "ramGb",
            "bundle",
            "sizeGb",
            "oneZone",
            "apart",
            "borrowed",
            "expectedS",
            "bookmarkS",
            "bookmarkWriteS");

    /** Where workers could be sent direct commands. */
    private static final String WORKERS = "10.1.";

    /** The scenario files, in order of their names. */
    static Stream<Path> scenarios() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("src/test/resources/scenarios"))) {
            // -Dscenario=WORD plays only those with this word in their names.
            return files
                    .filter(file -> file.toString().endsWith(".txt"))
                    .filter(file -> file.getFileName().toString().contains(System.getProperty("scenario", "")))
                    .sorted()
                    .toList()
                    .stream();
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("scenarios")
    void plays(Path file) throws Exception {
        play(file.getFileName().toString(), Files.readAllLines(file));
    }

    /** One line of a scenario that says what happens when. */
    private record Step(int line, double atS, String[] words) {}

    /** Something to be done that may find a line of a scenario to be wrong. */
    private interface Reading {
        void run() throws Exception;
    }

    /** What a scenario's author got wrong is told by file, line and one sentence. */
    private static void reading(String name, int line, String text, Reading work) throws Exception {
        String where = name + ":" + line + ": ";
        try {
            work.run();
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(where + "not a number in: " + text, e);
        } catch (IndexOutOfBoundsException e) {
            throw new IllegalArgumentException(where + "a value is missing: " + text, e);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(where + e.getMessage(), e);
        }
    }

    /** Plays one scenario and checks that no rule was broken. */
    static void play(String name, List<String> lines) throws Exception {
        List<Step> steps = new ArrayList<>();
        SimulatedCluster cluster = read(name, lines, steps);
        for (Step step : steps) {
            cluster.simulation().runUntil((long) (step.atS() * 1000));
            reading(name, step.line(), String.join(" ", step.words()), () -> play(cluster, step.words()));
        }
        assertEquals(List.of(), cluster.rules().breaches());
        assertTrue(cluster.rules().starts() > 0, "nothing_ran");
        // All orders ride in answers to reports: none can be held up for longer than a report's sender waits.
        assertEquals(0, cluster.network().callsTo(WORKERS), "direct commands");
        System.out.printf(
                "%s: gone %.1f s and ordered %.1f s after a cancellation at the latest, %d orders and %d starts after one%n",
                name,
                cluster.rules().longestAfterCancelMs() / 1000.0,
                cluster.rules().longestOrderAfterCancelMs() / 1000.0,
                cluster.rules().ordersAfterCancel(),
                cluster.rules().startsAfterCancel());
    }

    /** The deployment that the lines without a time describe; the others are put into order. */
    private static SimulatedCluster read(String name, List<String> lines, List<Step> steps) throws Exception {
        Description description = new Description();
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i);
            int number = i + 1;
            reading(name, number, line, () -> description.read(line.strip().split("\\s+"), number, steps));
        }
        steps.sort(Comparator.comparingDouble(Step::atS));
        return description.cluster();
    }

    /** What is said of the deployment, as far as it differs from the usual. */
    private static final class Description {
        private int controllers = 3;
        private double requestsPerS = 300;
        private double writesPerS = 100;
        private Limits next;
        private Timing timing = Timing.DEFAULT;
        private boolean nextIsNews;
        private final List<Limit> teams = new ArrayList<>();
        private final List<MachineType> types = new ArrayList<>();
        private final List<String[]> pools = new ArrayList<>();

        void read(String[] words, int line, List<Step> steps) {
            switch (words[0]) {
                case "", "#" -> {}
                case "requests-per-second" -> requestsPerS = Double.parseDouble(words[1]);
                case "writes-per-second" -> writesPerS = Double.parseDouble(words[1]);
                case "next" -> {
                    next = new Limits(
                            Integer.parseInt(words[1]), Integer.parseInt(words[2]), Double.parseDouble(words[3]));
                    nextIsNews = words.length > 4;
                }
                case "workers" ->
                    timing = new Timing(
                            Double.parseDouble(words[2]), Double.parseDouble(words[4]), Double.parseDouble(words[6]));
                case "controllers" -> controllers = Integer.parseInt(words[1]);
                case "team" ->
                    teams.add(new Limit(
                            words[1],
                            new Amounts(Double.parseDouble(words[2]), 0, 0),
                            new Amounts(Double.parseDouble(words[3]), 0, 0)));
                case "type" ->
                    types.add(new MachineType(
                            words[1],
                            new Amounts(Double.parseDouble(words[2]), Double.parseDouble(words[3]), 64),
                            100,
                            1,
                            1,
                            0.3,
                            Double.parseDouble(words[4]),
                            List.of("east", "west")));
                case "pool" -> pools.add(words);
                case "at" -> {
                    if (words.length < 3) {
                        throw new IndexOutOfBoundsException();
                    }
                    steps.add(new Step(line, Double.parseDouble(words[1]), words));
                }
                default -> throw new IllegalArgumentException("unknown word " + words[0]);
            }
        }

        SimulatedCluster cluster() {
            List<Limit> allTeams = teams.isEmpty() ? List.of(new Limit("a", Amounts.NONE, Amounts.NONE)) : teams;
            List<MachineType> allTypes = types.isEmpty()
                    ? List.of(new MachineType("m8", new Amounts(8, 0, 64), 100, 1, 1, 0.3, 10, List.of("east", "west")))
                    : types;
            SimulatedCluster cluster = new SimulatedCluster(
                    controllers, allTeams, allTypes, requestsPerS, writesPerS, next, nextIsNews, timing);
            if (pools.isEmpty()) {
                cluster.capacity("m8", "east", true, 4);
                cluster.capacity("m8", "west", true, 4);
                cluster.capacity("m8", "east", false, 4);
            }
            pools.forEach(p -> cluster.capacity(p[1], p[2], p[3].equals("spot"), Integer.parseInt(p[4])));
            return cluster;
        }
    }

    /** A controller by its own name, as who leads now, or by a name given earlier in the scenario. */
    private static String node(SimulatedCluster cluster, String word) {
        return word.equals("leader") ? cluster.leader() : cluster.named(word);
    }

    private static String machine(SimulatedCluster cluster, String word) {
        if (word.equals("busy")) {
            return cluster.machines().stream()
                    .filter(name -> cluster.worker(name).live() > 0)
                    .findFirst()
                    .orElseThrow();
        }
        return word;
    }

    private static void play(SimulatedCluster cluster, String[] words) throws InvalidMessage {
        String verb = words[2];
        String first = words.length > 3 ? words[3] : "";
        switch (verb) {
            case "submit" -> submit(cluster, first, options(words, 4));
            case "try" -> cluster.send(first, Json.bytes(submission(first, options(words, 4))));
            case "burst" -> {
                for (int i = 0; i < Integer.parseInt(words[4]); i++) {
                    submit(cluster, first + (100 + i), options(words, 5));
                }
            }
            case "resubmit" -> cluster.resubmit(first);
            case "cancel" -> cluster.cancel(first);
            case "ask" -> cluster.poll(first);
            case "crash" -> {
                long restartMs = words.length > 4 ? (long) (Double.parseDouble(words[4]) * 1000) : -1;
                if (first.equals("all")) {
                    cluster.nodes().forEach(node -> cluster.crash(node, restartMs));
                } else {
                    cluster.crash(node(cluster, first), restartMs);
                }
            }
            case "silence" -> cluster.silence(node(cluster, first), (long) (Double.parseDouble(words[4]) * 1000));
            case "freeze" -> cluster.freeze(node(cluster, first), (long) (Double.parseDouble(words[4]) * 1000));
            case "storm" -> cluster.storm(first, Integer.parseInt(words[4]));
            case "boots" -> cluster.cloud().boots(Double.parseDouble(first));
            case "cut" -> {
                Cut how = Cut.valueOf(words[5].toUpperCase());
                ends(cluster, first, words[4]).forEach(pair -> cluster.network().cut(pair[0], pair[1], how));
            }
            // Requests of the first to the second still pass, or answers do.
            case "cut-answers" ->
                ends(cluster, first, words[4]).forEach(pair -> cluster.network().cutOneWay(pair[1], pair[0], Cut.HOLD));
            case "cut-requests" ->
                ends(cluster, first, words[4]).forEach(pair -> cluster.network().cutOneWay(pair[0], pair[1], Cut.HOLD));
            // Packets one way take so long; 0: no longer.
            case "slow" ->
                ends(cluster, first, words[4])
                        .forEach(pair -> cluster.network().delayOneWay(pair[0], pair[1], millis(words[5])));
            case "heal" ->
                ends(cluster, first, words[4]).forEach(pair -> cluster.network().heal(pair[0], pair[1]));
            case "name" -> cluster.name(first, node(cluster, words[4]));
            case "watch-pauses" -> cluster.rules().watchPauses();
            case "outage" -> cluster.outage(isOn(words[3]));
            case "looks-at-elections" -> cluster.looksAtElections(isOn(words[3]));
            case "refuse" -> cluster.refuse(node(cluster, first), isOn(words[4]));
            case "refuse-none" ->
                cluster.nodes().forEach(node -> cluster.state().refuse(node, false));
            case "watches-hang" -> cluster.state().watchesHang(isOn(words[3]));
            case "lists-take" -> cluster.state().lists(millis(first));
            case "pages" -> cluster.state().pages(Integer.parseInt(first));
            case "limits-fall" -> cluster.limitsFall();
            case "lose-commits" ->
                cluster.state().loseCommits(Integer.parseInt(first), (long) (Double.parseDouble(words[4]) * 1000));
            case "cloud" -> cluster.cloud().down(first.equals("down"));
            case "cloud-lists" -> cluster.cloud().listing(Listing.valueOf(first));
            case "late-release" -> cluster.cloud().nextReleaseLate((long) (Double.parseDouble(first) * 1000));
            case "late-rental" -> cluster.cloud().nextRentalLate((long) (Double.parseDouble(first) * 1000));
            case "never-up" -> cluster.cloud().neverUp(Integer.parseInt(first));
            case "die" -> cluster.cloud().take(machine(cluster, first));
            case "hang" -> cluster.worker(machine(cluster, first)).hang(true);
            case "hang-for" -> cluster.hang(cluster.worker(machine(cluster, first)), millis(words[4]));
            case "hang-some" ->
                List.copyOf(cluster.workers()).stream()
                        .limit(Integer.parseInt(first))
                        .forEach(worker -> cluster.hang(worker, millis(words[4])));
            case "deaf" -> some(cluster, first).forEach(worker -> worker.deaf(true));
            case "mute" -> some(cluster, first).forEach(worker -> worker.mute(true));
            case "all-hear" ->
                cluster.workers().forEach(worker -> {
                    worker.deaf(false);
                    worker.mute(false);
                });
            case "late-writes" ->
                cluster.state().lateWrites(Double.parseDouble(first), words.length > 4 && words[4].equals("at-once"));
            case "late-reports" ->
                cluster.lateReports(Double.parseDouble(first), words.length > 4 && words[4].equals("for-next"));
            case "cancel-now" -> {
                List<String> jobs = cluster.cancelNow(Integer.parseInt(first));
                if (words.length > 4) {
                    cluster.hangMachinesOf(jobs, millis(words[5]));
                }
            }
            case "cancel-at-end" -> cluster.cancelAtEnd(Double.parseDouble(first));
            case "look" -> cluster.look(first);
            case "close-looks" -> cluster.closeLooks(isOn(words[3]));
            case "odd-requests" -> oddRequests(cluster, first);
            case "stream" -> stream(cluster, first, options(words, 4));
            case "troubles-over" -> cluster.troublesOver();
            case "unhang" -> cluster.workers().forEach(worker -> worker.hang(false));
            case "sick" -> cluster.worker(machine(cluster, first)).sick();
            case "wave" -> wave(cluster, first);
            case "notice" -> cluster.workers().forEach(worker -> worker.notice(Double.parseDouble(first)));
            case "expect" -> expect(cluster, words);
            default -> throw new IllegalArgumentException("unknown word " + verb);
        }
    }

    private static boolean isOn(String word) {
        return switch (word) {
            case "on" -> true;
            case "off" -> false;
            default -> throw new IllegalArgumentException("neither on nor off: " + word);
        };
    }

    private static long millis(String seconds) {
        return (long) (Double.parseDouble(seconds) * 1000);
    }

    /** All machines, those of a zone, or the first so many. */
    private static List<WorkerStandIn> some(SimulatedCluster cluster, String which) {
        List<WorkerStandIn> all = cluster.workers();
        if (Character.isDigit(which.charAt(0))) {
            return all.stream().limit(Integer.parseInt(which)).toList();
        }
        return all.stream()
                .filter(worker -> which.equals("all") || worker.zone().equals(which))
                .toList();
    }

    /** So many jobs a second for a while, a share of which their users call off a second or two later. */
    private static void stream(SimulatedCluster cluster, String prefix, Map<String, String> options)
            throws InvalidMessage {
        double perS = Double.parseDouble(options.get("per-second"));
        int jobs = (int) (perS * Double.parseDouble(options.get("for")));
        double share = Double.parseDouble(options.getOrDefault("cancel", "0"));
        Random random = new Random(jobs);
        for (int i = 0; i < jobs; i++) {
            String id = prefix + (1000 + i);
            long at = (long) (1000 * i / perS);
            cluster.simulation().after(at, () -> {
                try {
                    submit(cluster, id, options);
                } catch (InvalidMessage e) {
                    throw new IllegalArgumentException(id, e);
                }
            });
            if (random.nextDouble() < share) {
                cluster.simulation().after(at + 200 + random.nextInt(4000), () -> cluster.cancel(id));
            }
        }
    }

    /** Users submit a job again, and send everything that can't run or lacks a field, at all controllers. */
    static void oddRequests(SimulatedCluster cluster, String job) {
        cluster.resubmit(job);
        int number = 0;
        for (String field : REQUIRED) {
            String id = String.format("run-99%04d", number++);
            ObjectNode body = submission(id, Map.of());
            body.remove(field);
            cluster.sendUnfit(id, Json.bytes(body));
        }
        for (Map<String, String> unfit : List.of(
                Map.of("cores", "1000"),
                Map.of("team", "nobody"),
                Map.of("types", "m-none"),
                Map.of("zone", "nowhere"),
                Map.of("gpus", "1"),
                Map.of("tasks", "0"),
                Map.of("tasks", "100001"),
                Map.of("cores", "-1"),
                Map.of("urgency", "soon"),
                Map.of("form", "gang"))) {
            String id = String.format("run-99%04d", number++);
            cluster.sendUnfit(id, Json.bytes(submission(id, unfit)));
        }
    }

    private static void wave(SimulatedCluster cluster, String zone) {
        List.copyOf(cluster.machines()).stream()
                .filter(name -> zone.equals("all") || cluster.zone(name).equals(zone))
                .forEach(cluster.cloud()::take);
    }

    private static List<String[]> ends(SimulatedCluster cluster, String one, String other) {
        String from = node(cluster, one);
        List<String[]> pairs = new ArrayList<>();
        switch (other) {
            case "peers" ->
                cluster.nodes().stream()
                        .filter(node -> !node.equals(from))
                        .forEach(node -> pairs.add(new String[] {from, node}));
            default -> pairs.add(new String[] {from, node(cluster, other)});
        }
        return pairs;
    }

    private static Map<String, String> options(String[] words, int start) {
        Map<String, String> options = new HashMap<>();
        for (int i = start; i < words.length; i += 2) {
            if (!OPTIONS.contains(words[i])) {
                throw new IllegalArgumentException("unknown word " + words[i]);
            }
            options.put(words[i], words[i + 1]);
        }
        return options;
    }

    /** A submission as users send it, with the usual values where the options name none. */
    static ObjectNode submission(String job, Map<String, String> options) {
        ObjectNode body = Json.object()
                .put("ref", job)
                .put("workclass", options.getOrDefault("class", "plain"))
                .put("ownerDesk", options.getOrDefault("team", "a"))
                .put("jobForm", options.getOrDefault("form", "sweep"))
                .put("urgency", options.getOrDefault("urgency", "normal"))
                .put("pieces", Integer.parseInt(options.getOrDefault("tasks", "4")))
                .put("cores", Double.parseDouble(options.getOrDefault("cores", "1")))
                .put("gpus", Double.parseDouble(options.getOrDefault("gpus", "0")))
                .put("ramGb", Double.parseDouble(options.getOrDefault("ram", "1")))
                .put(
                        "bundle",
                        options.containsKey("image-length")
                                ? "i".repeat(Integer.parseInt(options.get("image-length")))
                                : options.getOrDefault("image", "img-1"))
                .put("sizeGb", 1.0)
                .put("site", options.get("zone"))
                .put("oneZone", options.containsKey("one-zone"))
                .put("apart", options.containsKey("apart"))
                .put("borrowed", !options.containsKey("ordinary"))
                .put("expectedS", Double.parseDouble(options.getOrDefault("expected", "20")))
                .put("bookmarkS", Double.parseDouble(options.getOrDefault("saves", "0")))
                .put("bookmarkWriteS", 1.0);
        if (options.containsKey("due")) {
            body.put("dueS", Double.parseDouble(options.get("due")));
        }
        if (options.containsKey("needs")) {
            ArrayNode needs = body.putArray("waitsOn");
            List.of(options.get("needs").split(",")).forEach(needs::add);
        }
        if (options.containsKey("types")) {
            body.putArray("boxKinds").add(options.get("types"));
        }
        return body;
    }

    private static void submit(SimulatedCluster cluster, String job, Map<String, String> options)
            throws InvalidMessage {
        cluster.submit(
                submission(job, options),
                Double.parseDouble(options.getOrDefault("run", "20")),
                Double.parseDouble(options.getOrDefault("vary", "0")),
                options.containsKey("fails"));
    }

    private static void expect(SimulatedCluster cluster, String[] words) {
        String where = String.join(" ", words);
        switch (words[3]) {
            case "met" -> {
                if (!SimulatedCluster.MEETINGS.contains(words[4])) {
                    throw new IllegalArgumentException("nothing is counted as " + words[4]);
                }
                assertTrue(
                        cluster.met(words[4]) >= Integer.parseInt(words[6]),
                        () -> where + ": " + cluster.met(words[4]));
            }
            case "starts-after-cancel" ->
                assertTrue(
                        cluster.rules().startsAfterCancel() <= Integer.parseInt(words[5]),
                        () -> where + ": " + cluster.rules().startsAfterCancel());
            case "gone-after-cancel" ->
                assertTrue(
                        cluster.rules().longestAfterCancelMs() <= 1000 * Double.parseDouble(words[5]),
                        () -> where + ": " + cluster.rules().longestAfterCancelMs() / 1000.0);
            case "lost-starts" ->
                assertTrue(
                        cluster.lostStarts() <= Integer.parseInt(words[5]), () -> where + ": " + cluster.lostStarts());
            case "order-after-cancel" ->
                assertTrue(
                        cluster.rules().longestOrderAfterCancelMs() <= 1000 * Double.parseDouble(words[5]),
                        () -> where + ": " + cluster.rules().longestOrderAfterCancelMs() / 1000.0);
            case "served" -> assertEquals(List.of(), cluster.rules().underserved(), where);
            case "leader" -> {
                if (words[4].equals("none")) {
                    assertEquals(null, cluster.leader(), where);
                } else if (words[4].equals("not")) {
                    assertTrue(cluster.leader() != null && !cluster.leader().equals(words[5]), where);
                } else {
                    assertTrue(cluster.leader() != null, where);
                }
            }
            case "killed-by-lease" ->
                assertTrue(
                        cluster.rules().killedByLease() <= Integer.parseInt(words[5]),
                        () -> where + ": " + cluster.rules().killedByLease());
            case "pause" ->
                assertTrue(
                        cluster.rules().longestPauseMs() <= 1000 * Double.parseDouble(words[5]),
                        () -> where + ": " + cluster.rules().longestPauseMs() / 1000.0);
            case "running" ->
                assertTrue(
                        cluster.workers().stream().mapToInt(WorkerStandIn::live).sum() >= Integer.parseInt(words[5]),
                        () -> where + ": "
                                + cluster.workers().stream()
                                        .mapToInt(WorkerStandIn::live)
                                        .sum());
            case "machines" ->
                assertTrue(
                        cluster.cloud().machines().size() <= Integer.parseInt(words[5]),
                        () -> where + ": " + cluster.cloud().machines().size());
            case "starts" ->
                assertTrue(
                        cluster.rules().starts() <= Integer.parseInt(words[5]),
                        () -> where + ": " + cluster.rules().starts());
            case "rented" ->
                assertTrue(
                        cluster.cloud().rented() <= Integer.parseInt(words[5]),
                        () -> where + ": " + cluster.cloud().rented());
            case "storm-answers" ->
                assertTrue(
                        cluster.stormAnswers(Integer.parseInt(words[4])) >= Integer.parseInt(words[6]),
                        () -> where + ": " + cluster.stormAnswers(Integer.parseInt(words[4])));
            case "over-requests" ->
                assertTrue(
                        cluster.state().overRequests() <= Integer.parseInt(words[5]),
                        () -> where + ": " + cluster.state().overRequests());
            case "writes" ->
                assertTrue(
                        cluster.state().writes() <= Integer.parseInt(words[5]),
                        () -> where + ": " + cluster.state().writes());
            case "turned-away" ->
                assertTrue(
                        words[4].equals("at-least")
                                ? cluster.turnedAway() >= Integer.parseInt(words[5])
                                : cluster.turnedAway() <= Integer.parseInt(words[5]),
                        () -> where + ": " + cluster.turnedAway());
            case "untold" -> assertEquals(Integer.parseInt(words[4]), cluster.untold(), where);
            case "malformed" ->
                assertEquals(Integer.parseInt(words[4]), cluster.state().malformed(), where);
            case "over-rate" ->
                assertTrue(
                        cluster.state().overRate() <= Integer.parseInt(words[5]),
                        () -> where + ": " + cluster.state().overRate());
            case "term" -> assertEquals(Integer.parseInt(words[4]), cluster.term(), where);
            case "status" -> assertEquals(Integer.parseInt(words[5]), cluster.lastStatus(words[4]), where);
            default -> {
                if (!cluster.knows(words[3])) {
                    throw new IllegalArgumentException("no line before submits " + words[3]);
                }
                if (!STATES.contains(words[4])) {
                    throw new IllegalArgumentException("no job is ever told to be " + words[4]);
                }
                assertEquals(words[4], cluster.told(words[3]), where);
            }
        }
    }
}

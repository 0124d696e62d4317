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
import notchpick.standin.WorkerStandIn;
import notchpick.standin.World;
import notchpick.standin.World.Limits;
import notchpick.standin.World.Timing;
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

    static void play(String name, List<String> lines) throws Exception {
        List<Step> steps = new ArrayList<>();
        World world = read(name, lines, steps);
        for (Step step : steps) {
            world.simulation().runUntil((long) (step.atS() * 1000));
            reading(name, step.line(), String.join(" ", step.words()), () -> play(world, step.words()));
        }
        assertEquals(List.of(), world.rules().breaches());
        assertTrue(world.rules().starts() > 0, "nothing_ran");
        // All orders ride in answers to reports: none can be held up for longer than a report's sender waits.
        assertEquals(0, world.network().callsTo(WORKERS), "direct commands");
        System.out.printf(
                "%s: gone %.1f s and ordered %.1f s after a cancellation at the latest, %d orders and %d starts after one%n",
                name,
                world.rules().longestAfterCancelMs() / 1000.0,
                world.rules().longestOrderAfterCancelMs() / 1000.0,
                world.rules().ordersAfterCancel(),
                world.rules().startsAfterCancel());
    }

    /** The deployment that the lines without a time describe; the others are put into order. */
    private static World read(String name, List<String> lines, List<Step> steps) throws Exception {
        Description description = new Description();
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i);
            int number = i + 1;
            reading(name, number, line, () -> description.read(line.strip().split("\\s+"), number, steps));
        }
        steps.sort(Comparator.comparingDouble(Step::atS));
        return description.world();
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

        World world() {
            List<Limit> allTeams = teams.isEmpty() ? List.of(new Limit("a", Amounts.NONE, Amounts.NONE)) : teams;
            List<MachineType> allTypes = types.isEmpty()
                    ? List.of(new MachineType("m8", new Amounts(8, 0, 64), 100, 1, 1, 0.3, 10, List.of("east", "west")))
                    : types;
            World world =
                    new World(controllers, allTeams, allTypes, requestsPerS, writesPerS, next, nextIsNews, timing);
            if (pools.isEmpty()) {
                world.capacity("m8", "east", true, 4);
                world.capacity("m8", "west", true, 4);
                world.capacity("m8", "east", false, 4);
            }
            pools.forEach(p -> world.capacity(p[1], p[2], p[3].equals("spot"), Integer.parseInt(p[4])));
            return world;
        }
    }

    /** A controller by its own name, as who leads now, or by a name given earlier in the scenario. */
    private static String node(World world, String word) {
        return word.equals("leader") ? world.leader() : world.named(word);
    }

    private static String machine(World world, String word) {
        if (word.equals("busy")) {
            return world.machines().stream()
                    .filter(name -> world.worker(name).live() > 0)
                    .findFirst()
                    .orElseThrow();
        }
        return word;
    }

    private static void play(World world, String[] words) throws InvalidMessage {
        String verb = words[2];
        String first = words.length > 3 ? words[3] : "";
        switch (verb) {
            case "submit" -> submit(world, first, options(words, 4));
            case "try" -> world.send(first, Json.bytes(submission(first, options(words, 4))));
            case "burst" -> {
                for (int i = 0; i < Integer.parseInt(words[4]); i++) {
                    submit(world, first + (100 + i), options(words, 5));
                }
            }
            case "resubmit" -> world.resubmit(first);
            case "cancel" -> world.cancel(first);
            case "ask" -> world.poll(first);
            case "crash" -> {
                long restartMs = words.length > 4 ? (long) (Double.parseDouble(words[4]) * 1000) : -1;
                if (first.equals("all")) {
                    world.nodes().forEach(node -> world.crash(node, restartMs));
                } else {
                    world.crash(node(world, first), restartMs);
                }
            }
            case "silence" -> world.silence(node(world, first), (long) (Double.parseDouble(words[4]) * 1000));
            case "freeze" -> world.freeze(node(world, first), (long) (Double.parseDouble(words[4]) * 1000));
            case "storm" -> world.storm(first, Integer.parseInt(words[4]));
            case "boots" -> world.cloud().boots(Double.parseDouble(first));
            case "cut" -> {
                Cut how = Cut.valueOf(words[5].toUpperCase());
                ends(world, first, words[4]).forEach(pair -> world.network().cut(pair[0], pair[1], how));
            }
            // Requests of the first to the second still pass, or answers do.
            case "cut-answers" ->
                ends(world, first, words[4]).forEach(pair -> world.network().cutOneWay(pair[1], pair[0], Cut.HOLD));
            case "cut-requests" ->
                ends(world, first, words[4]).forEach(pair -> world.network().cutOneWay(pair[0], pair[1], Cut.HOLD));
            // Packets one way take so long; 0: no longer.
            case "slow" ->
                ends(world, first, words[4])
                        .forEach(pair -> world.network().delayOneWay(pair[0], pair[1], millis(words[5])));
            case "heal" ->
                ends(world, first, words[4]).forEach(pair -> world.network().heal(pair[0], pair[1]));
            case "name" -> world.name(first, node(world, words[4]));
            case "watch-pauses" -> world.rules().watchPauses();
            case "outage" -> world.outage(first.equals("on"));
            case "looks-at-elections" -> world.looksAtElections(first.equals("on"));
            case "refuse" -> world.refuse(node(world, first), words[4].equals("on"));
            case "refuse-none" -> world.nodes().forEach(node -> world.state().refuse(node, false));
            case "watches-hang" -> world.state().watchesHang(first.equals("on"));
            case "lists-take" -> world.state().lists(millis(first));
            case "pages" -> world.state().pages(Integer.parseInt(first));
            case "limits-fall" -> world.limitsFall();
            case "lose-commits" ->
                world.state().loseCommits(Integer.parseInt(first), (long) (Double.parseDouble(words[4]) * 1000));
            case "cloud" -> world.cloud().down(first.equals("down"));
            case "cloud-lists" -> world.cloud().listing(Listing.valueOf(first));
            case "late-release" -> world.cloud().nextReleaseLate((long) (Double.parseDouble(first) * 1000));
            case "late-rental" -> world.cloud().nextRentalLate((long) (Double.parseDouble(first) * 1000));
            case "never-up" -> world.cloud().neverUp(Integer.parseInt(first));
            case "die" -> world.cloud().take(machine(world, first));
            case "hang" -> world.worker(machine(world, first)).hang(true);
            case "hang-for" -> world.hang(world.worker(machine(world, first)), millis(words[4]));
            case "hang-some" ->
                List.copyOf(world.workers()).stream()
                        .limit(Integer.parseInt(first))
                        .forEach(worker -> world.hang(worker, millis(words[4])));
            case "deaf" -> some(world, first).forEach(worker -> worker.deaf(true));
            case "mute" -> some(world, first).forEach(worker -> worker.mute(true));
            case "all-hear" ->
                world.workers().forEach(worker -> {
                    worker.deaf(false);
                    worker.mute(false);
                });
            case "late-writes" ->
                world.state().lateWrites(Double.parseDouble(first), words.length > 4 && words[4].equals("at-once"));
            case "late-reports" ->
                world.lateReports(Double.parseDouble(first), words.length > 4 && words[4].equals("for-next"));
            case "cancel-now" -> {
                List<String> jobs = world.cancelNow(Integer.parseInt(first));
                if (words.length > 4) {
                    world.hangMachinesOf(jobs, millis(words[5]));
                }
            }
            case "cancel-at-end" -> world.cancelAtEnd(Double.parseDouble(first));
            case "look" -> world.look(first);
            case "close-looks" -> world.closeLooks(first.equals("on"));
            case "odd-requests" -> oddRequests(world, first);
            case "stream" -> stream(world, first, options(words, 4));
            case "troubles-over" -> world.troublesOver();
            case "unhang" -> world.workers().forEach(worker -> worker.hang(false));
            case "sick" -> world.worker(machine(world, first)).sick();
            case "wave" -> wave(world, first);
            case "notice" -> world.workers().forEach(worker -> worker.notice(Double.parseDouble(first)));
            case "expect" -> expect(world, words);
            default -> throw new IllegalArgumentException("unknown word " + verb);
        }
    }

    private static long millis(String seconds) {
        return (long) (Double.parseDouble(seconds) * 1000);
    }

    /** All machines, those of a zone, or the first so many. */
    private static List<WorkerStandIn> some(World world, String which) {
        List<WorkerStandIn> all = world.workers();
        if (Character.isDigit(which.charAt(0))) {
            return all.stream().limit(Integer.parseInt(which)).toList();
        }
        return all.stream()
                .filter(worker -> which.equals("all") || worker.zone().equals(which))
                .toList();
    }

    /** So many jobs a second for a while, a share of which their users call off a second or two later. */
    private static void stream(World world, String prefix, Map<String, String> options) throws InvalidMessage {
        double perS = Double.parseDouble(options.get("per-second"));
        int jobs = (int) (perS * Double.parseDouble(options.get("for")));
        double share = Double.parseDouble(options.getOrDefault("cancel", "0"));
        Random random = new Random(jobs);
        for (int i = 0; i < jobs; i++) {
            String id = prefix + (1000 + i);
            long at = (long) (1000 * i / perS);
            world.simulation().after(at, () -> {
                try {
                    submit(world, id, options);
                } catch (InvalidMessage e) {
                    throw new IllegalArgumentException(id, e);
                }
            });
            if (random.nextDouble() < share) {
                world.simulation().after(at + 200 + random.nextInt(4000), () -> world.cancel(id));
            }
        }
    }

    /** Users submit a job again, and send everything that can't run or lacks a field, at all controllers. */
    static void oddRequests(World world, String job) {
        world.resubmit(job);
        int number = 0;
        for (String field : REQUIRED) {
            String id = String.format("run-99%04d", number++);
            ObjectNode body = submission(id, Map.of());
            body.remove(field);
            world.sendUnfit(id, Json.bytes(body));
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
            world.sendUnfit(id, Json.bytes(submission(id, unfit)));
        }
    }

    private static void wave(World world, String zone) {
        List.copyOf(world.machines()).stream()
                .filter(name -> zone.equals("all") || world.zone(name).equals(zone))
                .forEach(world.cloud()::take);
    }

    private static List<String[]> ends(World world, String one, String other) {
        String from = node(world, one);
        List<String[]> pairs = new ArrayList<>();
        switch (other) {
            case "peers" ->
                world.nodes().stream()
                        .filter(node -> !node.equals(from))
                        .forEach(node -> pairs.add(new String[] {from, node}));
            default -> pairs.add(new String[] {from, node(world, other)});
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

    private static void submit(World world, String job, Map<String, String> options) throws InvalidMessage {
        world.submit(
                submission(job, options),
                Double.parseDouble(options.getOrDefault("run", "20")),
                Double.parseDouble(options.getOrDefault("vary", "0")),
                options.containsKey("fails"));
    }

    private static void expect(World world, String[] words) {
        String where = String.join(" ", words);
        switch (words[3]) {
            case "met" -> {
                if (!World.MEETINGS.contains(words[4])) {
                    throw new IllegalArgumentException("nothing is counted as " + words[4]);
                }
                assertTrue(world.met(words[4]) >= Integer.parseInt(words[6]), () -> where + ": " + world.met(words[4]));
            }
            case "starts-after-cancel" ->
                assertTrue(
                        world.rules().startsAfterCancel() <= Integer.parseInt(words[5]),
                        () -> where + ": " + world.rules().startsAfterCancel());
            case "gone-after-cancel" ->
                assertTrue(
                        world.rules().longestAfterCancelMs() <= 1000 * Double.parseDouble(words[5]),
                        () -> where + ": " + world.rules().longestAfterCancelMs() / 1000.0);
            case "lost-starts" ->
                assertTrue(world.lostStarts() <= Integer.parseInt(words[5]), () -> where + ": " + world.lostStarts());
            case "order-after-cancel" ->
                assertTrue(
                        world.rules().longestOrderAfterCancelMs() <= 1000 * Double.parseDouble(words[5]),
                        () -> where + ": " + world.rules().longestOrderAfterCancelMs() / 1000.0);
            case "served" -> assertEquals(List.of(), world.rules().underserved(), where);
            case "leader" -> {
                if (words[4].equals("none")) {
                    assertEquals(null, world.leader(), where);
                } else if (words[4].equals("not")) {
                    assertTrue(world.leader() != null && !world.leader().equals(words[5]), where);
                } else {
                    assertTrue(world.leader() != null, where);
                }
            }
            case "killed-by-lease" ->
                assertTrue(
                        world.rules().killedByLease() <= Integer.parseInt(words[5]),
                        () -> where + ": " + world.rules().killedByLease());
            case "pause" ->
                assertTrue(
                        world.rules().longestPauseMs() <= 1000 * Double.parseDouble(words[5]),
                        () -> where + ": " + world.rules().longestPauseMs() / 1000.0);
            case "running" ->
                assertTrue(
                        world.workers().stream().mapToInt(WorkerStandIn::live).sum() >= Integer.parseInt(words[5]),
                        () -> where + ": "
                                + world.workers().stream()
                                        .mapToInt(WorkerStandIn::live)
                                        .sum());
            case "machines" ->
                assertTrue(
                        world.cloud().machines().size() <= Integer.parseInt(words[5]),
                        () -> where + ": " + world.cloud().machines().size());
            case "starts" ->
                assertTrue(
                        world.rules().starts() <= Integer.parseInt(words[5]),
                        () -> where + ": " + world.rules().starts());
            case "rented" ->
                assertTrue(
                        world.cloud().rented() <= Integer.parseInt(words[5]),
                        () -> where + ": " + world.cloud().rented());
            case "storm-answers" ->
                assertTrue(
                        world.stormAnswers(Integer.parseInt(words[4])) >= Integer.parseInt(words[6]),
                        () -> where + ": " + world.stormAnswers(Integer.parseInt(words[4])));
            case "over-requests" ->
                assertTrue(
                        world.state().overRequests() <= Integer.parseInt(words[5]),
                        () -> where + ": " + world.state().overRequests());
            case "writes" ->
                assertTrue(
                        world.state().writes() <= Integer.parseInt(words[5]),
                        () -> where + ": " + world.state().writes());
            case "turned-away" ->
                assertTrue(
                        words[4].equals("at-least")
                                ? world.turnedAway() >= Integer.parseInt(words[5])
                                : world.turnedAway() <= Integer.parseInt(words[5]),
                        () -> where + ": " + world.turnedAway());
            case "untold" -> assertEquals(Integer.parseInt(words[4]), world.untold(), where);
            case "malformed" ->
                assertEquals(Integer.parseInt(words[4]), world.state().malformed(), where);
            case "over-rate" ->
                assertTrue(
                        world.state().overRate() <= Integer.parseInt(words[5]),
                        () -> where + ": " + world.state().overRate());
            case "term" -> assertEquals(Integer.parseInt(words[4]), world.term(), where);
            case "status" -> assertEquals(Integer.parseInt(words[5]), world.lastStatus(words[4]), where);
            default -> {
                if (!world.knows(words[3])) {
                    throw new IllegalArgumentException("no line before submits " + words[3]);
                }
                if (!STATES.contains(words[4])) {
                    throw new IllegalArgumentException("no job is ever told to be " + words[4]);
                }
                assertEquals(words[4], world.told(words[3]), where);
            }
        }
    }
}

package notchpick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import notchpick.coordination.Deployment.Quota;
import notchpick.protocol.InvalidMessageException;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.Resources;
import notchpick.simulation.SimulatedCluster;
import notchpick.simulation.SimulatedCluster.Timing;
import notchpick.simulation.SimulatedNetwork.Cut;
import notchpick.simulation.SimulatedWorker;
import notchpick.simulation.Transcript;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Seeded random walks over pairs and triples of troubles, the second of which begins close to an election, a confirmed
 * cancellation, a task's end or a machine's boot, while users cancel and look at all controllers. Seeds go through all
 * pairs in turn; {@code -Dmeetings=FIRST-LAST} plays others. A seed that fails tells what happened in order, and
 * with {@code -Dstory=true} each does.
 */
@Execution(ExecutionMode.CONCURRENT)
class FaultCombinationTest {
    /** Jobs with long to go, for users to cancel. */
    private static final int LONG_JOBS = 6;

    private static final List<String> JOBS = Stream.concat(
                    Stream.of("run-000001", "run-000002", "run-000003"),
                    IntStream.range(0, LONG_JOBS).mapToObj(i -> "run-00001" + i))
            .toList();
    /** A moment that does not come within so long is not waited for. */
    private static final long PATIENCE_MS = 7000;

    /** How many controllers there are, and the workers' periods. */
    private record Setting(int controllers, Timing timing) {}

    /** Seeds take these in turn, so that each pair meets another one in the next round of all pairs. */
    private static final List<Setting> SETTINGS = List.of(
            new Setting(5, new Timing(5, 22, 42)),
            new Setting(7, new Timing(5, 29, 54)),
            new Setting(3, new Timing(3, 22, 42)),
            new Setting(5, new Timing(2, 20, 24)));

    /** What can go wrong by itself. */
    enum Trouble {
        LEADER_CRASHES,
        ANOTHER_CRASHES,
        ALL_CRASH,
        LEADER_FREEZES,
        LEADER_REFUSED,
        OUTAGE,
        WRITES_LATE,
        WRITES_UNHEARD,
        REPORTS_LATE,
        REPORTS_FOR_NEXT,
        MACHINES_DEAF,
        MACHINES_MUTE,
        MACHINES_HANG,
        LEADER_LOSES_STATE_AND_PEERS,
        ZONE_CUT,
        LEADER_LOSES_WORKERS,
        ANSWERS_HELD,
        WATCHES_HANG,
        LISTS_SLOW,
        MACHINES_DIE,
        LINKS_SLOW,
        LEADER_SLOW,
        ANSWERS_HELD_BY_PEERS,
        BOOTS_AT_ONCE,
        ODD_REQUESTS,
        WORK_CHANGES_HANDS,
        CANCELLED_AT_ONCE,
        OLD_LEADER_WAKES
    }

    private static final Trouble[] ALL = Trouble.values();
    private static final int PAIRS = ALL.length * (ALL.length + 1) / 2;

    /** The seeds to play. */
    static IntStream seeds() {
        String[] range = System.getProperty("meetings", "1-" + PAIRS).split("-");
        return IntStream.rangeClosed(Integer.parseInt(range[0]), Integer.parseInt(range[1]));
    }

    /** The pair that a seed is about; those of one trouble with itself among them. */
    private static List<Trouble> pair(int seed) {
        int rest = Math.floorMod(seed - 1, PAIRS);
        int first = 0;
        while (rest >= ALL.length - first) {
            rest -= ALL.length - first;
            first++;
        }
        return List.of(ALL[first], ALL[first + rest]);
    }

    private final List<String> happened = new ArrayList<>();
    private SimulatedCluster cluster;
    private Random random;
    private int wideJobs;

    private void begin(int seed, Transcript transcript) throws InvalidMessageException {
        random = new Random(seed);
        Setting setting = SETTINGS.get(Math.floorMod(seed - 1 + (seed - 1) / PAIRS, SETTINGS.size()));
        cluster = new SimulatedCluster(
                setting.controllers(),
                List.of(
                        new Quota("a", Resources.NONE, new Resources(40, 0, 0)),
                        new Quota("b", Resources.NONE, Resources.NONE)),
                List.of(new MachineType("m8", new Resources(8, 0, 64), 100, 1, 1, 0.3, 2, List.of("east", "west"))),
                500,
                150,
                null,
                false,
                setting.timing());
        cluster.record(transcript);
        cluster.capacity("m8", "east", true, 7);
        cluster.capacity("m8", "west", true, 7);
        cluster.simulation().runUntil(3000);
        submit(JOBS.get(0), Map.of("tasks", "25", "team", "a"), 100);
        submit(JOBS.get(1), Map.of("tasks", "90", "team", "a"), 9);
        submit(JOBS.get(2), Map.of("tasks", "20", "team", "b", "one-zone", "yes"), 40);
        for (String job : JOBS.subList(3, JOBS.size())) {
            submit(job, Map.of("tasks", "5", "team", "b"), 150);
        }
        cluster.simulation().runUntil(20_000);
        cluster.closeLooks(true);
        cluster.cancelAtEnd(0.2);
        for (int i = 0; i < 25; i++) {
            int number = i;
            cluster.simulation().after(2000L * i, () -> trySubmit(String.format("run-01%04d", number)));
        }
    }

    private void trySubmit(String job) {
        try {
            submit(job, Map.of("tasks", "3", "team", "b"), 5);
        } catch (InvalidMessageException e) {
            throw new IllegalArgumentException(job, e);
        }
    }

    private void submit(String job, Map<String, String> options, double runS) throws InvalidMessageException {
        cluster.submit(Submissions.submission(job, options), runS, 0.8, false);
    }

    private long between(long least, long most) {
        return least + random.nextInt((int) (most - least + 1));
    }

    private void note(String what) {
        happened.add("at " + cluster.simulation().now() / 1000.0 + " " + what);
    }

    private String leader() {
        return cluster.leader() == null
                ? cluster.nodes().get(random.nextInt(cluster.nodes().size()))
                : cluster.leader();
    }

    private void later(long delayMs, String what, Runnable work) {
        cluster.simulation().after(delayMs, () -> {
            note(what);
            work.run();
        });
    }

    private void start(Trouble trouble) {
        String leader = leader();
        long forMs = switch (random.nextInt(3)) {
            case 0 -> between(1000, 8000);
            case 1 -> between(8000, 30_000);
            default -> between(30_000, 70_000);
        };
        String until = " for " + forMs / 1000.0;
        note(trouble + " " + leader + until);
        switch (trouble) {
            case LEADER_CRASHES -> cluster.crash(leader, between(200, 8000));
            case ANOTHER_CRASHES ->
                cluster.crash(cluster.nodes().get(random.nextInt(cluster.nodes().size())), between(200, 8000));
            case ALL_CRASH -> cluster.nodes().forEach(node -> cluster.crash(node, Math.min(forMs, 40_000)));
            case LEADER_FREEZES -> cluster.freeze(leader, Math.min(forMs, 25_000));
            case LEADER_REFUSED -> {
                cluster.state().refuse(leader, true);
                later(forMs, leader + " is served again", () -> cluster.state().refuse(leader, false));
            }
            case OUTAGE -> {
                cluster.state().outage(true);
                later(forMs, "the outage is over", () -> cluster.state().outage(false));
            }
            case WRITES_LATE, WRITES_UNHEARD -> {
                cluster.state().lateWrites(0.4, trouble == Trouble.WRITES_UNHEARD);
                later(forMs, "writes are answered", () -> cluster.state().lateWrites(0, false));
            }
            case REPORTS_LATE, REPORTS_FOR_NEXT -> {
                cluster.lateReports(0.5, trouble == Trouble.REPORTS_FOR_NEXT);
                later(forMs, "no more copies", () -> cluster.lateReports(0, false));
            }
            case MACHINES_DEAF -> machines(forMs, SimulatedWorker::deaf);
            case MACHINES_MUTE -> machines(forMs, SimulatedWorker::mute);
            case MACHINES_HANG ->
                cluster.workers().stream()
                        .limit(between(1, 6))
                        .forEach(worker -> cluster.hang(worker, Math.min(forMs, 30_000)));
            case LEADER_LOSES_STATE_AND_PEERS -> {
                cut(leader, "state", forMs);
                cluster.nodes().stream().filter(node -> !node.equals(leader)).forEach(node -> cut(leader, node, forMs));
            }
            case ZONE_CUT -> cut("zone-east", "outside-east", forMs);
            case LEADER_LOSES_WORKERS -> cut(leader, "workers", forMs);
            case ANSWERS_HELD -> {
                cluster.network().cutOneWay(leader, "workers", Cut.HOLD);
                later(
                        Math.min(forMs, 6000),
                        "answers pass",
                        () -> cluster.network().heal(leader, "workers"));
            }
            case WATCHES_HANG -> {
                cluster.state().watchesHang(true);
                later(forMs, "watches are answered", () -> cluster.state().watchesHang(false));
            }
            case LISTS_SLOW -> {
                cluster.state().lists(between(500, 4000));
                later(forMs, "lists are quick", () -> cluster.state().lists(0));
            }
            case LINKS_SLOW -> {
                List<String> ends = new ArrayList<>(List.of("controllers", "workers-east", "workers-west", "state"));
                Collections.shuffle(ends, random);
                slow(ends.get(0), ends.get(1), forMs);
                slow(ends.get(1), ends.get(0), forMs);
            }
            case LEADER_SLOW -> {
                slow(leader, random.nextBoolean() ? "state" : "controllers", forMs);
                slow(random.nextBoolean() ? "state" : "workers", leader, forMs);
            }
            case ANSWERS_HELD_BY_PEERS -> {
                cut(leader, "workers", forMs);
                slow(leader, "controllers", forMs);
                slow("controllers", "workers", forMs);
            }
            case BOOTS_AT_ONCE -> {
                cluster.cloud().boots(0.1);
                cluster.machines().stream().limit(between(1, 6)).toList().forEach(cluster.cloud()::take);
                later(forMs, "boots take their time", () -> cluster.cloud().boots(1));
            }
            case ODD_REQUESTS -> Submissions.oddRequests(cluster, JOBS.get(0));
            case WORK_CHANGES_HANDS -> {
                // Teams are parted among the controllers that show signs of life: some fall silent and come back.
                List<String> others = new ArrayList<>(cluster.nodes());
                others.remove(leader);
                Collections.shuffle(others, random);
                others.stream().limit(between(1, 3)).forEach(node -> cluster.silence(node, Math.min(forMs, 20_000)));
            }
            case CANCELLED_AT_ONCE -> note("users cancel " + cluster.cancelNow((int) between(3, 6)));
            case OLD_LEADER_WAKES -> {
                slow(leader, "workers", 9000);
                cluster.freeze(leader, between(2000, 9000));
            }
            case MACHINES_DIE ->
                List.copyOf(cluster.machines()).stream().limit(between(1, 8)).forEach(cluster.cloud()::take);
        }
    }

    private void cut(String one, String other, long forMs) {
        cluster.network().cut(one, other, Cut.HOLD);
        cluster.simulation().after(forMs, () -> cluster.network().heal(one, other));
    }

    private void slow(String from, String to, long forMs) {
        cluster.network().delayOneWay(from, to, between(200, 3800));
        later(forMs, from + " to " + to + " is quick", () -> cluster.network().delayOneWay(from, to, 0));
    }

    private interface Fault {
        void set(SimulatedWorker worker, boolean on);
    }

    private void machines(long forMs, Fault fault) {
        List<SimulatedWorker> some =
                cluster.workers().stream().limit(between(1, 20)).toList();
        some.forEach(worker -> fault.set(worker, true));
        later(forMs, "machines are well", () -> some.forEach(worker -> fault.set(worker, false)));
    }

    /** Goes on until shortly after something has come about once more, or has not for a while. */
    private void await(String what, IntSupplier count) {
        int before = count.getAsInt();
        long until = cluster.simulation().now() + PATIENCE_MS;
        while (count.getAsInt() == before && cluster.simulation().now() < until) {
            cluster.simulation().runUntil(cluster.simulation().now() + 10);
        }
        note(count.getAsInt() == before ? "no " + what + " came" : "after " + what);
        cluster.simulation().runUntil(cluster.simulation().now() + between(0, 400));
    }

    private void awaitSomething() {
        switch (random.nextInt(6)) {
            case 0 -> await("an election", cluster::term);
            case 1 -> await("a cancellation", () -> cluster.met("cancellations"));
            case 2 -> await("an end", () -> cluster.met("ends"));
            case 3 -> await("a boot", () -> cluster.cloud().ups());
            case 4 -> cluster.simulation().runUntil(cluster.simulation().now() + between(0, 5000));
            default -> {}
        }
    }

    /** A job is submitted, and called off while its tasks are being started. */
    private void cancelWhileStarting() {
        String job = String.format("run-02%04d", wideJobs++);
        try {
            submit(job, Map.of("tasks", "24", "team", "b", "urgency", "high", "due", "60"), 60);
        } catch (InvalidMessageException e) {
            throw new IllegalArgumentException(job, e);
        }
        later(between(20, 6000), "users cancel " + job, () -> cluster.cancel(job));
    }

    private void cancelSome() {
        if (random.nextBoolean()) {
            cancelWhileStarting();
        }
        int count = (int) between(0, 2);
        List<String> jobs = cluster.cancelNow(count);
        note("users cancel " + jobs);
        if (random.nextInt(4) == 0) {
            cluster.hangMachinesOf(jobs, between(3000, 30_000));
        }
    }

    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void noRuleIsBrokenWhereTroublesMeet(int seed) throws InvalidMessageException {
        try (Transcript transcript = Transcript.open("fault-combination-" + seed)) {
            play(seed, transcript);
        }
    }

    private void play(int seed, Transcript transcript) throws InvalidMessageException {
        begin(seed, transcript);
        List<Trouble> troubles = new ArrayList<>(pair(seed));
        if (random.nextBoolean()) {
            Collections.reverse(troubles);
        }
        switch (random.nextInt(3)) {
            case 0 -> troubles.add(ALL[random.nextInt(ALL.length)]);
            // Most rules broke where the state service went away at the end.
            case 1 -> troubles.add(Trouble.OUTAGE);
            default -> {}
        }
        cluster.simulation().runUntil(cluster.simulation().now() + between(0, 8000));
        for (Trouble trouble : troubles) {
            boolean cancelFirst = random.nextBoolean();
            if (cancelFirst) {
                cancelSome();
                awaitSomething();
            }
            start(trouble);
            if (!cancelFirst) {
                cluster.simulation().runUntil(cluster.simulation().now() + between(0, 1500));
                cancelSome();
            }
            awaitSomething();
        }
        cluster.simulation().runUntil(cluster.simulation().now() + 75_000);
        note("troubles are over");
        cluster.cancelAtEnd(0);
        cluster.troublesOver();
        cluster.simulation().runUntil(cluster.simulation().now() + 300_000);
        String story = "seed " + seed + ": " + String.join("\n", happened) + "\n";
        if (Boolean.getBoolean("story")) {
            System.out.println(story);
        }
        System.out.printf(
                "seed %d: gone %d ms and ordered %d ms after a cancellation at the latest, %d orders, %d starts%n",
                seed,
                cluster.rules().longestAfterCancelMs(),
                cluster.rules().longestOrderAfterCancelMs(),
                cluster.rules().ordersAfterCancel(),
                cluster.rules().startsAfterCancel());
        assertEquals(List.of(), cluster.rules().breaches(), story);
        assertEquals(0, cluster.directCommands(), "direct commands");
        for (String job : JOBS) {
            assertTrue(
                    List.of("done", "cancelled").contains(cluster.told(job)), story + job + " is " + cluster.told(job));
        }
    }
}

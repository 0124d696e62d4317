package notchpick;

import static java.util.Map.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import notchpick.protocol.InvalidMessageException;
import notchpick.protocol.Json;
import notchpick.simulation.SimulatedCloud.Listing;
import notchpick.simulation.SimulatedCluster;
import notchpick.simulation.SimulatedNetwork.Cut;
import notchpick.simulation.SimulatedWorker;

/** What a scenario's lines bring about, verb by verb. */
final class ScenarioVerbs {
    /** What a verb does. */
    private interface Verb {
        void run(SimulatedCluster cluster, String[] words) throws InvalidMessageException;
    }

    private static final Map<String, Verb> VERBS = Map.ofEntries(
            entry(
                    "submit",
                    (cluster, words) -> Submissions.submit(cluster, first(words), Submissions.options(words, 4))),
            entry(
                    "try",
                    (cluster, words) -> cluster.send(
                            first(words),
                            Json.bytes(Submissions.submission(first(words), Submissions.options(words, 4))))),
            entry("burst", (cluster, words) -> {
                for (int i = 0; i < Integer.parseInt(words[4]); i++) {
                    Submissions.submit(cluster, first(words) + (100 + i), Submissions.options(words, 5));
                }
            }),
            entry("resubmit", (cluster, words) -> cluster.resubmit(first(words))),
            entry("cancel", (cluster, words) -> cluster.cancel(first(words))),
            entry("ask", (cluster, words) -> cluster.poll(first(words))),
            entry("crash", (cluster, words) -> {
                long restartMs = words.length > 4 ? (long) (Double.parseDouble(words[4]) * 1000) : -1;
                if (first(words).equals("all")) {
                    cluster.nodes().forEach(node -> cluster.crash(node, restartMs));
                } else {
                    cluster.crash(node(cluster, first(words)), restartMs);
                }
            }),
            entry(
                    "silence",
                    (cluster, words) ->
                            cluster.silence(node(cluster, first(words)), (long) (Double.parseDouble(words[4]) * 1000))),
            entry(
                    "freeze",
                    (cluster, words) ->
                            cluster.freeze(node(cluster, first(words)), (long) (Double.parseDouble(words[4]) * 1000))),
            entry("storm", (cluster, words) -> cluster.storm(first(words), Integer.parseInt(words[4]))),
            entry("boots", (cluster, words) -> cluster.cloud().boots(Double.parseDouble(first(words)))),
            entry("cut", (cluster, words) -> {
                Cut how = Cut.valueOf(words[5].toUpperCase());
                ends(cluster, first(words), words[4])
                        .forEach(pair -> cluster.network().cut(pair[0], pair[1], how));
            }),
            // Requests of the first to the second still pass, or answers do.
            entry(
                    "cut-answers",
                    (cluster, words) -> ends(cluster, first(words), words[4])
                            .forEach(pair -> cluster.network().cutOneWay(pair[1], pair[0], Cut.HOLD))),
            entry(
                    "cut-requests",
                    (cluster, words) -> ends(cluster, first(words), words[4])
                            .forEach(pair -> cluster.network().cutOneWay(pair[0], pair[1], Cut.HOLD))),
            // Packets one way take so long; 0: no longer.
            entry(
                    "slow",
                    (cluster, words) -> ends(cluster, first(words), words[4])
                            .forEach(pair -> cluster.network().delayOneWay(pair[0], pair[1], millis(words[5])))),
            entry(
                    "heal",
                    (cluster, words) -> ends(cluster, first(words), words[4])
                            .forEach(pair -> cluster.network().heal(pair[0], pair[1]))),
            entry("name", (cluster, words) -> cluster.name(first(words), node(cluster, words[4]))),
            entry("watch-pauses", (cluster, words) -> cluster.rules().watchPauses()),
            entry("outage", (cluster, words) -> cluster.outage(isOn(words[3]))),
            entry("looks-at-elections", (cluster, words) -> cluster.looksAtElections(isOn(words[3]))),
            entry("refuse", (cluster, words) -> cluster.refuse(node(cluster, first(words)), isOn(words[4]))),
            entry(
                    "refuse-none",
                    (cluster, words) ->
                            cluster.nodes().forEach(node -> cluster.state().refuse(node, false))),
            entry("watches-hang", (cluster, words) -> cluster.state().watchesHang(isOn(words[3]))),
            entry("lists-take", (cluster, words) -> cluster.state().lists(millis(first(words)))),
            entry("pages", (cluster, words) -> cluster.state().pages(Integer.parseInt(first(words)))),
            entry("limits-fall", (cluster, words) -> cluster.limitsFall()),
            entry(
                    "lose-commits",
                    (cluster, words) -> cluster.state()
                            .loseCommits(Integer.parseInt(first(words)), (long) (Double.parseDouble(words[4]) * 1000))),
            entry("cloud", (cluster, words) -> cluster.cloud().down(first(words).equals("down"))),
            entry("cloud-lists", (cluster, words) -> cluster.cloud().listing(Listing.valueOf(first(words)))),
            entry(
                    "late-release",
                    (cluster, words) ->
                            cluster.cloud().nextReleaseLate((long) (Double.parseDouble(first(words)) * 1000))),
            entry(
                    "late-rental",
                    (cluster, words) ->
                            cluster.cloud().nextRentalLate((long) (Double.parseDouble(first(words)) * 1000))),
            entry("never-up", (cluster, words) -> cluster.cloud().neverUp(Integer.parseInt(first(words)))),
            entry("die", (cluster, words) -> cluster.cloud().take(machine(cluster, first(words)))),
            entry(
                    "hang",
                    (cluster, words) ->
                            cluster.worker(machine(cluster, first(words))).hang(true)),
            entry(
                    "hang-for",
                    (cluster, words) -> cluster.hang(cluster.worker(machine(cluster, first(words))), millis(words[4]))),
            entry(
                    "hang-some",
                    (cluster, words) -> List.copyOf(cluster.workers()).stream()
                            .limit(Integer.parseInt(first(words)))
                            .forEach(worker -> cluster.hang(worker, millis(words[4])))),
            entry("deaf", (cluster, words) -> some(cluster, first(words)).forEach(worker -> worker.deaf(true))),
            entry("mute", (cluster, words) -> some(cluster, first(words)).forEach(worker -> worker.mute(true))),
            entry(
                    "all-hear",
                    (cluster, words) -> cluster.workers().forEach(worker -> {
                        worker.deaf(false);
                        worker.mute(false);
                    })),
            entry(
                    "late-writes",
                    (cluster, words) -> cluster.state()
                            .lateWrites(
                                    Double.parseDouble(first(words)), words.length > 4 && words[4].equals("at-once"))),
            entry(
                    "late-reports",
                    (cluster, words) -> cluster.lateReports(
                            Double.parseDouble(first(words)), words.length > 4 && words[4].equals("for-next"))),
            entry("cancel-now", (cluster, words) -> {
                List<String> jobs = cluster.cancelNow(Integer.parseInt(first(words)));
                if (words.length > 4) {
                    cluster.hangMachinesOf(jobs, millis(words[5]));
                }
            }),
            entry("cancel-at-end", (cluster, words) -> cluster.cancelAtEnd(Double.parseDouble(first(words)))),
            entry("look", (cluster, words) -> cluster.look(first(words))),
            entry("close-looks", (cluster, words) -> cluster.closeLooks(isOn(words[3]))),
            entry("odd-requests", (cluster, words) -> Submissions.oddRequests(cluster, first(words))),
            entry(
                    "stream",
                    (cluster, words) -> Submissions.stream(cluster, first(words), Submissions.options(words, 4))),
            entry("troubles-over", (cluster, words) -> cluster.troublesOver()),
            entry("unhang", (cluster, words) -> cluster.workers().forEach(worker -> worker.hang(false))),
            entry(
                    "sick",
                    (cluster, words) ->
                            cluster.worker(machine(cluster, first(words))).sick()),
            entry("wave", (cluster, words) -> wave(cluster, first(words))),
            entry(
                    "notice",
                    (cluster, words) ->
                            cluster.workers().forEach(worker -> worker.notice(Double.parseDouble(first(words))))),
            entry("expect", (cluster, words) -> ScenarioExpectations.check(cluster, words)));

    private ScenarioVerbs() {}

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

    /** Carries out one line of a scenario. */
    static void play(SimulatedCluster cluster, String[] words) throws InvalidMessageException {
        Verb verb = VERBS.get(words[2]);
        if (verb == null) {
            throw new IllegalArgumentException("unknown word " + words[2]);
        }
        verb.run(cluster, words);
    }

    private static String first(String[] words) {
        return words.length > 3 ? words[3] : "";
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
    private static List<SimulatedWorker> some(SimulatedCluster cluster, String which) {
        List<SimulatedWorker> all = cluster.workers();
        if (Character.isDigit(which.charAt(0))) {
            return all.stream().limit(Integer.parseInt(which)).toList();
        }
        return all.stream()
                .filter(worker -> which.equals("all") || worker.zone().equals(which))
                .toList();
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
}

package notchpick;

import static java.util.Map.entry;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;
import notchpick.protocol.InvalidMessageException;
import notchpick.protocol.Json;
import notchpick.simulation.SimulatedCloud.Listing;
import notchpick.simulation.SimulatedCluster;
import notchpick.simulation.SimulatedNetwork.Cut;
import notchpick.simulation.SimulatedWorker;

/** The verbs of the scenario language and their actions. */
final class ScenarioVerbs {
    /** The action of a verb. */
    private interface Verb {
        void run(SimulatedCluster cluster, ScenarioStep step) throws InvalidMessageException;
    }

    /** A direction of traffic between two hosts or groups. */
    private record Link(String from, String to) {}

    private static final Map<String, Verb> USER_VERBS = Map.ofEntries(
            entry("submit", (cluster, step) -> Submissions.submit(cluster, step.subject(), step.options(1))),
            entry("submit-once", (cluster, step) -> submitOnce(cluster, step)),
            entry("burst", (cluster, step) -> {
                for (int i = 0; i < step.intArgument(1); i++) {
                    Submissions.submit(cluster, step.subject() + (100 + i), step.options(2));
                }
            }),
            entry("stream", (cluster, step) -> Submissions.stream(cluster, step.subject(), step.options(1))),
            entry("resubmit", (cluster, step) -> cluster.users().resubmit(step.subject())),
            entry("submit-invalid", (cluster, step) -> Submissions.sendInvalid(cluster, step.subject())),
            entry("cancel", (cluster, step) -> cluster.users().cancel(step.subject())),
            entry("cancel-running", (cluster, step) -> {
                List<String> jobs = cluster.cancelRunning(step.intArgument(0));
                if (step.hasArgument(1)) {
                    cluster.fleet().hangMachinesOf(jobs, step.millisArgument(2));
                }
            }),
            entry(
                    "cancel-at-completion",
                    (cluster, step) -> cluster.users().setCancelAtCompletionShare(step.doubleArgument(0))),
            entry("poll", (cluster, step) -> cluster.users().poll(step.subject())),
            entry("poll-burst", (cluster, step) -> cluster.users().pollBurst(step.subject(), step.intArgument(1))),
            entry("read-at-all-controllers", (cluster, step) -> cluster.users().readAtAllControllers(step.subject())),
            entry("read-after-each-change", (cluster, step) -> cluster.users().setReadAfterEachChange(step.isOn(0))),
            entry("read-at-elections", (cluster, step) -> cluster.users().setReadAtElections(step.isOn(0))));

    private static final Map<String, Verb> CONTROLLER_AND_LINK_VERBS = Map.ofEntries(
            entry("crash", (cluster, step) -> crash(cluster, step)),
            entry(
                    "lose-power",
                    (cluster, step) -> cluster.controllers()
                            .losePower(controller(cluster, step.subject()), step.millisArgument(1))),
            entry(
                    "freeze",
                    (cluster, step) ->
                            cluster.controllers().freeze(controller(cluster, step.subject()), step.millisArgument(1))),
            entry(
                    "alias",
                    (cluster, step) ->
                            cluster.controllers().setAlias(step.subject(), controller(cluster, step.argument(1)))),
            entry("cut", (cluster, step) -> {
                Cut cut = Cut.valueOf(step.argument(2).toUpperCase(Locale.ROOT));
                links(cluster, step).forEach(link -> cluster.network().cut(link.from(), link.to(), cut));
            }),
            // Requests from the first host to the second still pass.
            entry(
                    "cut-answers",
                    (cluster, step) -> links(cluster, step)
                            .forEach(link -> cluster.network().cutOneWay(link.to(), link.from(), Cut.HOLD))),
            // Answers from the second host to the first still pass.
            entry(
                    "cut-requests",
                    (cluster, step) -> links(cluster, step)
                            .forEach(link -> cluster.network().cutOneWay(link.from(), link.to(), Cut.HOLD))),
            // Packets from the first host to the second take this many seconds longer; 0 ends the delay.
            entry(
                    "slow",
                    (cluster, step) -> links(cluster, step)
                            .forEach(link ->
                                    cluster.network().delayOneWay(link.from(), link.to(), step.millisArgument(2)))),
            entry(
                    "heal",
                    (cluster, step) -> links(cluster, step)
                            .forEach(link -> cluster.network().heal(link.from(), link.to()))),
            entry(
                    "duplicate-heartbeats",
                    (cluster, step) ->
                            cluster.duplicateHeartbeats(step.doubleArgument(0), hasFlag(step, "for-next-leader"))));

    private static final Map<String, Verb> STATE_STORE_VERBS = Map.ofEntries(
            entry("outage", (cluster, step) -> cluster.setOutage(step.isOn(0))),
            entry("refuse", (cluster, step) -> cluster.setRefused(controller(cluster, step.subject()), step.isOn(1))),
            entry(
                    "accept-all",
                    (cluster, step) -> cluster.controllers()
                            .nodes()
                            .forEach(node -> cluster.stateStore().setRefused(node, false))),
            entry("watches-hang", (cluster, step) -> cluster.stateStore().setWatchesHanging(step.isOn(0))),
            entry("list-delay", (cluster, step) -> cluster.stateStore().setListDelay(step.millisArgument(0))),
            // The next answers to requests of one kind that name a key take this many seconds longer.
            entry(
                    "delay-next-answers",
                    (cluster, step) -> cluster.delayNextAnswers(
                            step.subject(), step.argument(1), step.millisArgument(2), step.intArgument(3))),
            // The answers to watches of the leader key are sent this many seconds after the next election.
            entry(
                    "hold-watches-until-election",
                    (cluster, step) -> cluster.holdWatchesUntilElection(step.millisArgument(0))),
            // A share of all answers takes up to this many seconds longer; a share of 0 ends this.
            entry(
                    "delay-answers",
                    (cluster, step) -> cluster.delayAnswers(step.doubleArgument(0), (int) step.millisArgument(1))),
            // The leader crashes after its next transaction that writes a key with this prefix, and restarts later.
            entry(
                    "crash-leader-after-write",
                    (cluster, step) -> cluster.crashLeaderAfterNextWrite(step.subject(), step.millisArgument(1))),
            entry("max-list-items", (cluster, step) -> cluster.stateStore().setMaxListItems(step.intArgument(0))),
            entry("enforce-announced-limits", (cluster, step) -> cluster.enforceAnnouncedLimits()),
            entry(
                    "lose-commits",
                    (cluster, step) ->
                            cluster.stateStore().leaveCommitsUnanswered(step.intArgument(0), step.millisArgument(1))),
            entry(
                    "unanswered-writes",
                    (cluster, step) -> cluster.stateStore()
                            .setUnansweredCommits(step.doubleArgument(0), hasFlag(step, "applied-immediately"))));

    private static final Map<String, Verb> MACHINE_VERBS = Map.ofEntries(
            entry("boot-time-factor", (cluster, step) -> cluster.cloud().setBootTimeFactor(step.doubleArgument(0))),
            entry(
                    "cloud",
                    (cluster, step) ->
                            cluster.cloud().setUnavailable(step.subject().equals("down"))),
            // From now on, the cloud rents out up to this many machines of a pool at a time.
            entry(
                    "capacity",
                    (cluster, step) -> cluster.setCapacity(
                            step.subject(), step.argument(1), step.argument(2).equals("spot"), step.intArgument(3))),
            entry("cloud-lists", (cluster, step) -> cluster.cloud().setListing(Listing.valueOf(step.subject()))),
            entry("delay-next-release", (cluster, step) -> cluster.cloud().delayNextRelease(step.millisArgument(0))),
            entry("delay-next-rental", (cluster, step) -> cluster.cloud().delayNextRental(step.millisArgument(0))),
            entry("fail-next-boots", (cluster, step) -> cluster.cloud().failNextBoots(step.intArgument(0))),
            entry("reclaim", (cluster, step) -> cluster.cloud().reclaim(machine(cluster, step.subject()))),
            entry("reclaim-all", (cluster, step) -> reclaimAll(cluster, step.subject())),
            entry(
                    "announce-reclaim",
                    (cluster, step) -> cluster.fleet()
                            .workers()
                            .forEach(worker -> worker.announceReclaim(step.doubleArgument(0)))),
            entry("hang", (cluster, step) -> worker(cluster, step).setHanging(true)),
            entry("hang-for", (cluster, step) -> cluster.fleet().hang(worker(cluster, step), step.millisArgument(1))),
            entry(
                    "hang-some",
                    (cluster, step) -> cluster.fleet().workers().stream()
                            .limit(step.intArgument(0))
                            .forEach(worker -> cluster.fleet().hang(worker, step.millisArgument(1)))),
            entry(
                    "unhang-all",
                    (cluster, step) -> cluster.fleet().workers().forEach(worker -> worker.setHanging(false))),
            entry(
                    "lose-incoming",
                    (cluster, step) -> workers(cluster, step.subject()).forEach(worker -> worker.setInboundLost(true))),
            entry(
                    "lose-heartbeats",
                    (cluster, step) ->
                            workers(cluster, step.subject()).forEach(worker -> worker.setOutboundLost(true))),
            entry(
                    "heal-machines",
                    (cluster, step) -> cluster.fleet().workers().forEach(worker -> {
                        worker.setInboundLost(false);
                        worker.setOutboundLost(false);
                    })),
            entry("fail-all-tasks", (cluster, step) -> worker(cluster, step).setFaulty()));

    private static final Map<String, Verb> CHECK_VERBS = Map.of(
            "expect", ScenarioExpectations::check,
            "reset-longest-pause", (cluster, step) -> cluster.invariants().resetLongestPause(),
            "faults-ended", (cluster, step) -> cluster.markFaultsOver());

    private ScenarioVerbs() {}

    /** Carries out one step of a scenario. */
    static void play(SimulatedCluster cluster, ScenarioStep step) throws InvalidMessageException {
        Stream.of(USER_VERBS, CONTROLLER_AND_LINK_VERBS, STATE_STORE_VERBS, MACHINE_VERBS, CHECK_VERBS)
                .filter(verbs -> verbs.containsKey(step.verb()))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("unknown word " + step.verb()))
                .get(step.verb())
                .run(cluster, step);
    }

    private static boolean hasFlag(ScenarioStep step, String flag) {
        return step.hasArgument(1) && step.argument(1).equals(flag);
    }

    /** The controller with this name or alias, where "leader" stands for the current leader. */
    private static String controller(SimulatedCluster cluster, String word) {
        return word.equals("leader")
                ? cluster.controllers().leader().orElseThrow()
                : cluster.controllers().resolveAlias(word);
    }

    private static void crash(SimulatedCluster cluster, ScenarioStep step) {
        List<String> nodes = step.subject().equals("all")
                ? cluster.controllers().nodes()
                : List.of(controller(cluster, step.subject()));
        for (String node : nodes) {
            if (step.hasArgument(1)) {
                cluster.controllers().crash(node, step.millisArgument(1));
            } else {
                cluster.controllers().crash(node);
            }
        }
    }

    private static void submitOnce(SimulatedCluster cluster, ScenarioStep step) {
        String job = step.subject();
        cluster.users().submitOnce(job, Json.bytes(Submissions.submission(job, step.options(1))));
    }

    /** The links from the first argument to the second, where "peers" stands for all other controllers. */
    private static List<Link> links(SimulatedCluster cluster, ScenarioStep step) {
        String from = controller(cluster, step.subject());
        if (!step.argument(1).equals("peers")) {
            return List.of(new Link(from, controller(cluster, step.argument(1))));
        }
        return cluster.controllers().nodes().stream()
                .filter(node -> !node.equals(from))
                .map(node -> new Link(from, node))
                .toList();
    }

    /** A machine by its name, for "busy" the first one with a task, or for a job the first one with a task of it. */
    private static String machine(SimulatedCluster cluster, String word) {
        boolean isJob = word.startsWith("run-");
        if (!isJob && !word.equals("busy")) {
            return word;
        }
        return cluster.fleet().workers().stream()
                .filter(worker -> worker.tasks().stream().anyMatch(task -> !isJob || task.startsWith(word + "/")))
                .findFirst()
                .orElseThrow()
                .name();
    }

    private static SimulatedWorker worker(SimulatedCluster cluster, ScenarioStep step) {
        return cluster.fleet().worker(machine(cluster, step.subject()));
    }

    /**
     * Selects workers.
     *
     * @param which "all", a zone, or a number N for the first N workers
     */
    private static List<SimulatedWorker> workers(SimulatedCluster cluster, String which) {
        List<SimulatedWorker> all = cluster.fleet().workers();
        if (Character.isDigit(which.charAt(0))) {
            return all.stream().limit(Integer.parseInt(which)).toList();
        }
        return all.stream()
                .filter(worker -> which.equals("all") || worker.zone().equals(which))
                .toList();
    }

    /** Has the cloud reclaim all machines, or those of a zone. */
    private static void reclaimAll(SimulatedCluster cluster, String zone) {
        cluster.fleet().machines().stream()
                .filter(name ->
                        zone.equals("all") || cluster.fleet().zoneOf(name).equals(zone))
                .forEach(cluster.cloud()::reclaim);
    }
}

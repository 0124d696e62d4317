package notchpick.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import notchpick.app.Controller;
import notchpick.coordination.Deployment;
import notchpick.coordination.Deployment.Peer;
import notchpick.coordination.Tuning;
import notchpick.coordination.leader.term.LaunchCounters;
import notchpick.scheduling.ServiceObjectives;
import notchpick.scheduling.ServiceObjectives.Kind;
import notchpick.scheduling.ServiceObjectives.Objective;
import notchpick.storage.StateKeys;
import notchpick.transport.EventLoop;

/** The processes of the real controllers, which tests start, crash, freeze and power off. */
public final class SimulatedControllers {
    private static final double FAST_CLOCK_PERCENT = 0.05;
    private static final double SLOW_CLOCK_PERCENT = -0.05;
    private static final int CLOUD_REQUESTS_PER_S = 10;
    private static final int MAX_CONNECTIONS = 1000;

    private final ClusterConfig config;
    private final SimulatedTime time;
    private final SimulatedNetwork network;
    private final SimulatedStateStore stateStore;
    private final List<String> nodes = new ArrayList<>();
    private final Map<String, String> userAddresses = new LinkedHashMap<>();
    /**
     * The number of starts and crashes of each controller, which is odd while a process runs. A process has ended once
     * the number differs from that at its start.
     */
    private final Map<String, Integer> generations = new HashMap<>();

    private final Map<String, Long> frozenUntilMs = new HashMap<>();
    private final Map<String, String> aliases = new HashMap<>();
    private final List<LaunchCounters> launchCounters = new ArrayList<>();
    private int lastTermEndedByCrash;

    SimulatedControllers(
            ClusterConfig config, SimulatedTime time, SimulatedNetwork network, SimulatedStateStore stateStore) {
        this.config = config;
        this.time = time;
        this.network = network;
        this.stateStore = stateStore;
        for (int i = 0; i < config.controllers(); i++) {
            nodes.add("node-" + i);
            userAddresses.put("node-" + i, "10.0.0." + (i + 1) + ":8080");
        }
    }

    /** The names of all controllers, running or not. */
    public List<String> nodes() {
        return nodes;
    }

    /** The address at which users and workers reach each controller, in the order of {@link #nodes}. */
    Map<String, String> userAddresses() {
        return userAddresses;
    }

    private static String peerAddress(int index) {
        return "10.0.0." + (index + 1) + ":8081";
    }

    /** The controller named in the leader key; empty if the key does not exist. */
    public Optional<String> leader() {
        return Optional.ofNullable(stateStore.value(StateKeys.LEADER))
                .map(value -> value.path("node").asText());
    }

    /** The latest term; 0 before the first election. */
    public int term() {
        var value = stateStore.value(StateKeys.TERM);
        return value == null ? 0 : value.path("term").asInt();
    }

    boolean isLeader(String node) {
        return leader().filter(node::equals).isPresent();
    }

    /** The last term whose leader crashed; 0 if none did. */
    int lastTermEndedByCrash() {
        return lastTermEndedByCrash;
    }

    /** How many start commands the controllers have withheld because they violated an invariant. */
    long withheldStarts() {
        return launchCounters.stream().mapToLong(LaunchCounters::violations).sum();
    }

    /** How many launches the controllers have withdrawn before their start command was sent. */
    public long withdrawnLaunches() {
        return launchCounters.stream().mapToLong(LaunchCounters::withdrawn).sum();
    }

    boolean isRunning(String node) {
        return generations.get(node) % 2 == 1;
    }

    /** Gives a controller an alias by which a scenario can refer to it later. */
    public void setAlias(String alias, String node) {
        aliases.put(alias, node);
    }

    /** The controller with this alias, or the word itself if it is no alias. */
    public String resolveAlias(String word) {
        return aliases.getOrDefault(word, word);
    }

    /** Starts a new process of a controller. */
    void start(String node) {
        int index = nodes.indexOf(node);
        int generation = generations.merge(node, 1, Integer::sum);
        Controller controller = new Controller(
                eventLoop(node, generation),
                deployment(node, generation == 1),
                Tuning.DEFAULT,
                network.callerOf(node, () -> generations.get(node) == generation),
                new Random(7L * index + generation));
        launchCounters.add(controller.launchCounters());
        network.serve(userAddresses.get(node), node, controller::serve);
        network.serve(peerAddress(index), node, controller::servePeer);
        controller.tell(new Controller.Begin());
    }

    /** The first controller's clock runs as fast as the settings allow, and the second one's as slow. */
    private EventLoop eventLoop(String node, int generation) {
        int index = nodes.indexOf(node);
        double fastPercent = switch (index) {
            case 0 -> FAST_CLOCK_PERCENT;
            case 1 -> SLOW_CLOCK_PERCENT;
            default -> 0;
        };
        return time.newEventLoop(
                fastPercent,
                index * 100L - 100,
                () -> generations.get(node) == generation,
                () -> frozenUntilMs.getOrDefault(node, 0L));
    }

    private Deployment deployment(String node, boolean isFirstStart) {
        StateStoreLimits limits =
                config.limitsAnnouncedAtRestart() && isFirstStart ? config.limits() : config.announcedLimits();
        WorkerTiming timing = config.timing();
        return new Deployment(
                node,
                userAddresses.get(node),
                peerAddress(nodes.indexOf(node)),
                peersOf(node),
                SimulatedCluster.CLOUD_ADDRESS,
                SimulatedCluster.STATE_ADDRESS,
                ClusterConfig.ZONES,
                config.teams(),
                new ServiceObjectives(Map.of("slow", List.of(new Objective(Kind.FINISHED, 300)))),
                new Deployment.WorkerTiming(timing.heartbeatPeriodS(), timing.leaseS(), timing.cancelTimeoutS()),
                new Deployment.StateStoreLimits(
                        config.requestsPerS(), limits.writesPerS(), limits.valueBytes(), limits.transactionWrites()),
                CLOUD_REQUESTS_PER_S,
                MAX_CONNECTIONS);
    }

    private List<Peer> peersOf(String node) {
        List<Peer> peers = new ArrayList<>();
        for (String other : nodes) {
            if (!other.equals(node)) {
                peers.add(new Peer(other, peerAddress(nodes.indexOf(other))));
            }
        }
        return peers;
    }

    /** Ends a controller's process without restarting it. */
    public void crash(String node) {
        if (isLeader(node)) {
            lastTermEndedByCrash = term();
        }
        generations.merge(node, 1, Integer::sum);
        network.stopServing(userAddresses.get(node));
        network.stopServing(peerAddress(nodes.indexOf(node)));
    }

    /** Ends a controller's process and starts a new one after the delay. */
    public void crash(String node, long restartMs) {
        crash(node);
        time.schedule(restartMs, () -> start(node));
    }

    /**
     * Cuts the host's power for this long. Connections to it time out instead of being refused; a new process starts
     * when power returns.
     */
    public void losePower(String node, long durationMs) {
        crash(node, durationMs);
        network.setPowered(node, false);
        time.schedule(durationMs, () -> network.setPowered(node, true));
    }

    /** Pauses the process while its clocks keep running; messages to it wait until it resumes. */
    public void freeze(String node, long durationMs) {
        long untilMs = time.nowMs() + durationMs;
        frozenUntilMs.put(node, untilMs);
        network.freeze(node, untilMs);
    }
}

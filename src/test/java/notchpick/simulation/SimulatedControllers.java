package notchpick.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import notchpick.coordination.Deployment;
import notchpick.coordination.Deployment.Peer;
import notchpick.scheduling.ServiceObjectives;
import notchpick.scheduling.ServiceObjectives.Kind;
import notchpick.scheduling.ServiceObjectives.Objective;
import notchpick.storage.StateKeys;

/** The processes of the real controllers, which tests start, crash, freeze and power off. */
public final class SimulatedControllers {
    private static final int CLOUD_REQUESTS_PER_S = 10;
    private static final int MAX_CONNECTIONS = 1000;

    private final ClusterConfig config;
    private final SimulatedTime time;
    private final SimulatedNetwork network;
    private final SimulatedStateStore stateStore;
    private final ControllerRunner runner;
    private final List<String> nodes = new ArrayList<>();
    private final Map<String, String> userAddresses = new LinkedHashMap<>();
    /**
     * The number of starts and crashes of each controller, which is odd while a process runs. A process has ended once
     * the number differs from that at its start.
     */
    private final Map<String, Integer> generations = new HashMap<>();

    private final Map<String, String> aliases = new HashMap<>();
    private int lastTermEndedByCrash;

    SimulatedControllers(
            ClusterConfig config,
            SimulatedTime time,
            SimulatedNetwork network,
            SimulatedStateStore stateStore,
            ControllerRunner runner) {
        this.config = config;
        this.runner = runner;
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
        return runner.withheldStarts();
    }

    /** How many launches the controllers have withdrawn before their start command was sent. */
    public long withdrawnLaunches() {
        return runner.withdrawnLaunches();
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
        ControllerRunner.Started started = runner.start(new ControllerRunner.ProcessStart(
                node, index, generation, deployment(node, generation == 1), () -> generations.get(node) == generation));
        network.serve(userAddresses.get(node), node, started.clients());
        network.serve(peerAddress(index), node, started.peers());
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
        runner.kill(node);
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
        runner.pause(node, durationMs);
        network.freeze(node, untilMs);
    }
}

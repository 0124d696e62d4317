package notchpick.simulation;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import notchpick.coordination.Deployment.Quota;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.NodePool;
import notchpick.simulation.StateStoreAnswerDelays.RequestKind;
import notchpick.storage.StateKeys;
import notchpick.transport.HttpCaller;

/**
 * A whole deployment in simulated time: creates the controllers, the simulated services, workers and users, and injects
 * the faults that affect more than one of them.
 */
public final class SimulatedCluster {
    /** Creates what runs the controllers of a deployment. */
    @FunctionalInterface
    public interface ControllerRunnerFactory {
        /** Creates a runner whose controllers exchange messages over this network. */
        ControllerRunner create(SimulatedTime time, SimulatedNetwork network);
    }

    static final String STATE_ADDRESS = "10.2.0.1:2379";
    static final String CLOUD_ADDRESS = "10.2.0.2:8443";

    private static final String USER_HOST = "user";
    private static final int RANDOM_SEED = 11;

    private final ClusterConfig config;
    private final SimulatedTime time;
    private final SimulatedNetwork network;
    private final JobGroundTruth jobs = new JobGroundTruth();
    private final OccurrenceCounters occurrences = new OccurrenceCounters();
    private final InvariantChecker invariants;
    private final SimulatedStateStore stateStore;
    private final SimulatedControllers controllers;
    private final SimulatedUsers users;
    private final SimulatedFleet fleet;
    private final SimulatedCloud cloud;
    private final HeartbeatDuplicator heartbeatDuplicator;
    private final CancellationCircumstances cancellationCircumstances;
    private final WaitingJobMonitor waitingJobMonitor;
    private int lostStartOrders;

    /** Creates the deployment and starts all controllers; scheduled work runs only when the time is advanced. */
    public SimulatedCluster(ClusterConfig config) {
        this(config, new SimulatedTime(), InProcessControllers::new);
    }

    /** Creates the deployment with controllers that run elsewhere, and starts all controllers. */
    public SimulatedCluster(ClusterConfig config, SimulatedTime time, ControllerRunnerFactory controllerRunner) {
        this.config = config;
        this.time = time;
        this.network = new SimulatedNetwork(time);
        WorkerTiming timing = config.timing();
        Random random = new Random(RANDOM_SEED);
        HttpCaller userCaller = network.callerOf(USER_HOST, () -> true);
        invariants = new InvariantChecker(time::nowMs, timing.cancelTimeoutMs(), coreLimits(config.teams()));
        stateStore = new SimulatedStateStore(
                time::nowMs,
                time::schedule,
                config.limits().transactionWrites(),
                config.requestsPerS(),
                config.limits().writesPerS());
        controllers =
                new SimulatedControllers(config, time, network, stateStore, controllerRunner.create(time, network));
        users = new SimulatedUsers(time, userCaller, controllers, jobs, invariants, occurrences, random);
        heartbeatDuplicator =
                new HeartbeatDuplicator(time, random, timing.leaseMs(), controllers, occurrences, userCaller);
        WorkerEnvironment environment = new WorkerEnvironment(
                time, invariants, jobs, new WorkerEvents(), controllers.userAddresses(), timing, new HashMap<>());
        fleet = new SimulatedFleet(network, jobs, occurrences, environment);
        cloud = new SimulatedCloud(time::nowMs, time::schedule, machineTypes(config.machineTypes()), fleet);
        cancellationCircumstances =
                new CancellationCircumstances(config.teams(), time, stateStore, controllers, fleet, occurrences);
        waitingJobMonitor = new WaitingJobMonitor(time, invariants, config.teams(), jobs, fleet, users);
        connectHosts();
        controllers.nodes().forEach(controllers::start);
    }

    private static Map<String, Double> coreLimits(List<Quota> teams) {
        Map<String, Double> limits = new HashMap<>();
        teams.stream()
                .filter(team -> team.maximum().cores() > 0)
                .forEach(team -> limits.put(team.team(), team.maximum().cores()));
        return limits;
    }

    private static Map<String, MachineType> machineTypes(List<MachineType> types) {
        Map<String, MachineType> byName = new LinkedHashMap<>();
        types.forEach(type -> byName.put(type.name(), type));
        return byName;
    }

    private void connectHosts() {
        network.serve(STATE_ADDRESS, "state", stateStore);
        network.serve(CLOUD_ADDRESS, "cloud", cloud);
        for (String zone : ClusterConfig.ZONES) {
            List.of("state", "cloud", USER_HOST).forEach(host -> network.addToGroup(host, "outside-" + zone));
        }
        List<String> nodes = controllers.nodes();
        for (int i = 0; i < nodes.size(); i++) {
            network.addToGroup(nodes.get(i), "controllers");
            network.addToZone(nodes.get(i), ClusterConfig.ZONES.get(i % ClusterConfig.ZONES.size()));
        }
        users.setCancellationListener(cancellationCircumstances);
        invariants.setWithheldStarts(controllers::withheldStarts);
        stateStore.setPutListener(StateKeys.LEADER, users::onLeaderElected);
        occurrences.setExternalCounter(Occurrence.WRITE_APPLIED_WITHOUT_ANSWER, stateStore::appliedWithoutAnswer);
        occurrences.setExternalCounter(Occurrence.PACKET_DELAYED, network::delayedPackets);
        occurrences.setExternalCounter(
                Occurrence.ELECTION_ANSWERED_LATE, stateStore.answerDelays()::lateElectionAnswers);
    }

    /** Writes all later messages and transactions to the transcript. */
    public void record(Transcript transcript) {
        network.record(transcript);
        stateStore.record(transcript);
    }

    public SimulatedTime time() {
        return time;
    }

    /** Advances the time by this duration and runs all work that falls due. */
    public void runFor(long durationMs) {
        time.runUntil(time.nowMs() + durationMs);
    }

    public SimulatedNetwork network() {
        return network;
    }

    public SimulatedStateStore stateStore() {
        return stateStore;
    }

    public SimulatedCloud cloud() {
        return cloud;
    }

    public SimulatedControllers controllers() {
        return controllers;
    }

    public SimulatedUsers users() {
        return users;
    }

    public SimulatedFleet fleet() {
        return fleet;
    }

    public InvariantChecker invariants() {
        return invariants;
    }

    public OccurrenceCounters occurrences() {
        return occurrences;
    }

    /** Sets how many machines of a type, in a zone, as spot instances or not, the cloud offers. */
    public void setCapacity(String type, String zone, boolean spot, int machines) {
        cloud.setCapacity(new NodePool(type, zone, spot), machines);
    }

    /** How many commands were sent directly to workers; must stay 0, as orders travel only in heartbeat answers. */
    public int directCommands() {
        return network.callsTo(SimulatedWorker.ADDRESS);
    }

    /** How many start orders were lost because messages to the worker were lost. */
    public int lostStartOrders() {
        return lostStartOrders;
    }

    /** Makes the state store enforce the announced limits from now on. */
    public void enforceAnnouncedLimits() {
        stateStore.setLimits(config.announcedLimits());
    }

    /** Starts or ends an outage of the state store. */
    public void setOutage(boolean active) {
        stateStore.setOutage(active);
        if (!active) {
            users.onOutageEnded();
        }
    }

    /** Makes the state store start or stop refusing the requests of this controller. */
    public void setRefused(String node, boolean refused) {
        stateStore.setRefused(node, refused);
        if (refused && controllers.isLeader(node)) {
            cancellationCircumstances.recordLeaderRefusal(jobs.jobs().stream()
                    .map(job -> job.spec().id())
                    .filter(invariants::isCancelRequested)
                    .toList());
        }
    }

    /** Delays the next answers of the state store; see {@link StateStoreAnswerDelays#delayNext}. */
    public void delayNextAnswers(String kind, String text, long delayMs, int answers) {
        stateStore.answerDelays().delayNext(RequestKind.ofScenarioWord(kind), text, delayMs, answers);
    }

    /** Delays a share of the state store's answers; see {@link StateStoreAnswerDelays#delayShare}. */
    public void delayAnswers(double share, int maxDelayMs) {
        stateStore.answerDelays().delayShare(share, maxDelayMs);
    }

    /** See {@link StateStoreAnswerDelays#holdWatchesUntilElection}. */
    public void holdWatchesUntilElection(long afterElectionMs) {
        stateStore.answerDelays().holdWatchesUntilElection(afterElectionMs);
    }

    /**
     * Crashes the leader right after its next transaction that writes a key with this prefix, before it gets the answer
     * or sends another transaction.
     */
    public void crashLeaderAfterNextWrite(String prefix, long restartMs) {
        stateStore.runAfterNextWrite(
                prefix,
                () -> controllers.leader().ifPresent(leader -> {
                    occurrences.increment(Occurrence.LEADER_CRASHED_AFTER_WRITE);
                    controllers.crash(leader, restartMs);
                }));
    }

    /** Has users cancel up to {@code count} jobs that have tasks on machines; returns the chosen jobs. */
    public List<String> cancelRunning(int count) {
        return users.cancelSome(fleet.tasksByJob().keySet(), count);
    }

    /** See {@link HeartbeatDuplicator#setShare}. */
    public void duplicateHeartbeats(double share, boolean forNextLeader) {
        heartbeatDuplicator.setShare(share, forNextLeader);
    }

    /** Marks that no fault is active from now on, and starts to check for jobs that wait although they could start. */
    public void markFaultsOver() {
        invariants.recordFaultsOver();
        waitingJobMonitor.start();
    }

    /** Forwards worker events to the components that react to them or count them. */
    private final class WorkerEvents implements SimulatedWorker.Listener {
        @Override
        public void heartbeatSent(byte[] heartbeat) {
            heartbeatDuplicator.onHeartbeatSent(heartbeat);
        }

        @Override
        public void taskCompleted(String task) {
            occurrences.increment(Occurrence.TASK_COMPLETED);
            users.onTaskCompleted(task);
        }

        @Override
        public void startOrdered(long token) {
            if (token < controllers.term()) {
                occurrences.increment(Occurrence.ORDER_OF_FORMER_LEADER);
            }
        }

        @Override
        public void leaseRenewed(String worker, long token, long heartbeatSentAtMs) {
            if (stateStore.resignedTerms().hadResignedBefore(token, heartbeatSentAtMs)) {
                invariants.recordRenewalAfterResignation(worker, token);
            }
        }

        @Override
        public void startOrderLost() {
            lostStartOrders++;
        }

        @Override
        public void staleAnswerDropped() {
            occurrences.increment(Occurrence.STALE_ANSWER_DROPPED);
        }
    }
}

package notchpick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import notchpick.coordination.Deployment.Quota;
import notchpick.scheduling.Resources;
import notchpick.simulation.ClusterConfig;
import notchpick.simulation.SimulatedCluster;
import notchpick.simulation.SimulatedNetwork.Cut;
import notchpick.simulation.Transcript;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Seeded random sequences of link faults, checked against the invariants. A seed always gives the same run. */
@Execution(ExecutionMode.CONCURRENT)
class LinkFaultTest {
    private static final int CONTROLLERS = 5;
    /** The controller that keeps all its links in the test that requires a path for every request. */
    private static final String FULLY_CONNECTED = "node-4";
    /**
     * A second controller that keeps its links with workers. Workers try controllers in turn, five seconds each, so at
     * most three may be unreachable for them.
     */
    private static final String REACHABLE_FOR_WORKERS = "node-2";

    private static final long SETTLING_MS = 260_000;

    private static final List<String> JOBS = List.of("run-000001", "run-000002", "run-000003");

    static IntStream seeds() {
        return IntStream.rangeClosed(1, 150);
    }

    private static SimulatedCluster cluster(Transcript transcript) throws Exception {
        SimulatedCluster cluster = new SimulatedCluster(ClusterConfig.builder()
                .controllers(CONTROLLERS)
                .teams(List.of(new Quota("a", Resources.NONE, new Resources(70, 0, 0))))
                .machineTypes(List.of(ClusterConfig.machineType("m8", 5)))
                .requestsPerS(400)
                .writesPerS(100)
                .build());
        cluster.record(transcript);
        cluster.setCapacity("m8", "east", true, 5);
        cluster.setCapacity("m8", "west", true, 5);
        cluster.time().runUntil(3000);
        double[] runS = {6, 11, 17};
        for (int i = 0; i < JOBS.size(); i++) {
            cluster.users().submit(Submissions.submission(JOBS.get(i), Map.of("tasks", "90")), runS[i], 0.9, false);
        }
        cluster.time().runUntil(25_000);
        return cluster;
    }

    private static String pick(Random random, List<String> names) {
        return names.get(random.nextInt(names.size()));
    }

    /**
     * Cuts or heals a random link.
     *
     * @param spared a controller that keeps its links with workers, or null
     */
    private static void disturbLink(SimulatedCluster cluster, Random random, List<String> nodes, String spared) {
        String node = pick(random, nodes);
        String peer = pick(random, nodes);
        String other = pick(
                random,
                node.equals(spared)
                        ? List.of("state", peer)
                        : List.of("state", "workers", "workers-east", "workers-west", peer));
        switch (random.nextInt(8)) {
            case 0, 1 -> cluster.network().cut(node, other, Cut.HOLD);
            case 2 -> cluster.network().cut(node, other, Cut.RESET);
            case 3 -> cluster.network().cut(node, other, Cut.REFUSE);
            case 4 -> cluster.network().cutOneWay(node, other, Cut.HOLD);
            case 5 -> cluster.network().cutOneWay(other, node, Cut.HOLD);
            case 6 -> cluster.stateStore().setRefused(node, random.nextBoolean());
            default -> cluster.network().heal(node, other);
        }
    }

    private static void healAll(SimulatedCluster cluster) {
        for (String node : cluster.controllers().nodes()) {
            cluster.stateStore().setRefused(node, false);
            for (String other : List.of("state", "workers", "workers-east", "workers-west")) {
                cluster.network().heal(node, other);
            }
            cluster.controllers().nodes().forEach(peer -> cluster.network().heal(node, peer));
        }
        cluster.stateStore().setOutage(false);
    }

    /** Ends all faults and checks that all invariants held and that every job has reached one of these states. */
    private static void assertRecovers(SimulatedCluster cluster, int seed, List<String> finalStates) {
        healAll(cluster);
        cluster.runFor(SETTLING_MS);
        assertEquals(List.of(), cluster.invariants().violations(), "seed " + seed);
        assertEquals(0, cluster.directCommands(), "direct commands");
        for (String job : JOBS) {
            String state = cluster.users().lastState(job);
            assertTrue(finalStates.contains(state), "seed " + seed + " " + job + " is " + state);
        }
    }

    /** As long as one controller keeps all its links, every heartbeat and every request has a path. */
    @ParameterizedTest
    @MethodSource("seeds")
    void noLeaseExpiresWhileOneControllerKeepsItsLinks(int seed) throws Exception {
        try (Transcript transcript = Transcript.open("link-fault-path-left-" + seed)) {
            playWithOneControllerConnected(seed, transcript);
        }
    }

    private static void playWithOneControllerConnected(int seed, Transcript transcript) throws Exception {
        Random random = new Random(seed);
        SimulatedCluster cluster = cluster(transcript);
        List<String> nodes = cluster.controllers().nodes().stream()
                .filter(node -> !node.equals(FULLY_CONNECTED))
                .toList();
        for (int i = 0; i < 25; i++) {
            disturbLink(cluster, random, nodes, REACHABLE_FOR_WORKERS);
            cluster.runFor(500 + random.nextInt(4500));
        }
        assertEquals(0, cluster.invariants().tasksKilledByLeaseExpiry(), "seed " + seed);
        assertRecovers(cluster, seed, List.of("done"));
    }

    /** Links, controllers and the state store fail together: lost tasks run again, and no invariant is violated. */
    @ParameterizedTest
    @MethodSource("seeds")
    void invariantsHoldWhenAnythingFails(int seed) throws Exception {
        try (Transcript transcript = Transcript.open("link-fault-any-" + seed)) {
            playWithAnyFault(seed, transcript);
        }
    }

    private static void playWithAnyFault(int seed, Transcript transcript) throws Exception {
        Random random = new Random(1000 + seed);
        SimulatedCluster cluster = cluster(transcript);
        for (int i = 0; i < 30; i++) {
            String node = pick(random, cluster.controllers().nodes());
            switch (random.nextInt(9)) {
                case 0 -> cluster.controllers().crash(node, 200 + random.nextInt(6000));
                case 1 -> cluster.controllers().freeze(node, 500 + random.nextInt(20_000));
                case 2 -> cluster.stateStore().setOutage(random.nextInt(3) == 0);
                case 3 -> cluster.stateStore().leaveCommitsUnanswered(1 + random.nextInt(3), random.nextInt(20_000));
                case 4 -> {
                    if (i == 15) {
                        cluster.users().cancel(JOBS.get(2));
                    }
                }
                default -> disturbLink(cluster, random, cluster.controllers().nodes(), null);
            }
            cluster.runFor(200 + random.nextInt(4000));
        }
        assertRecovers(cluster, seed, List.of("done", "cancelled"));
    }
}

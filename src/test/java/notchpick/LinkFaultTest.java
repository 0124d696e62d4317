package notchpick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import notchpick.coordination.Deployment.Quota;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.Resources;
import notchpick.simulation.SimulatedCluster;
import notchpick.simulation.SimulatedNetwork.Cut;
import notchpick.simulation.Transcript;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Seeded random walks over failures of links, checked against the rules. A seed that fails repeats. */
@Execution(ExecutionMode.CONCURRENT)
class LinkFaultTest {
    private static final int CONTROLLERS = 5;
    /** All its links are left alone where a path must be left. */
    private static final String WHOLE = "node-4";
    /** Workers try one controller after another, five seconds each: no more than three may be out of their reach. */
    private static final String HEARD = "node-2";

    private static final List<String> JOBS = List.of("run-000001", "run-000002", "run-000003");

    static IntStream seeds() {
        return IntStream.rangeClosed(1, 150);
    }

    private static SimulatedCluster cluster(Transcript transcript) throws Exception {
        SimulatedCluster cluster = new SimulatedCluster(
                CONTROLLERS,
                List.of(new Quota("a", Resources.NONE, new Resources(70, 0, 0))),
                List.of(new MachineType("m8", new Resources(8, 0, 64), 100, 1, 1, 0.3, 5, List.of("east", "west"))),
                400,
                100,
                null,
                false);
        cluster.record(transcript);
        cluster.capacity("m8", "east", true, 5);
        cluster.capacity("m8", "west", true, 5);
        cluster.simulation().runUntil(3000);
        double[] runS = {6, 11, 17};
        for (int i = 0; i < JOBS.size(); i++) {
            cluster.submit(Submissions.submission(JOBS.get(i), Map.of("tasks", "90")), runS[i], 0.9, false);
        }
        cluster.simulation().runUntil(25_000);
        return cluster;
    }

    private static String any(Random random, List<String> names) {
        return names.get(random.nextInt(names.size()));
    }

    /** Cuts one link in one of the ways there are, or heals one; the spared controller's workers are left alone. */
    private static void turn(SimulatedCluster cluster, Random random, List<String> nodes, String spared) {
        String node = any(random, nodes);
        String peer = any(random, nodes);
        String other = any(
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
            case 6 -> cluster.state().refuse(node, random.nextBoolean());
            default -> cluster.network().heal(node, other);
        }
    }

    private static void healAll(SimulatedCluster cluster) {
        for (String node : cluster.nodes()) {
            cluster.state().refuse(node, false);
            for (String other : List.of("state", "workers", "workers-east", "workers-west")) {
                cluster.network().heal(node, other);
            }
            cluster.nodes().forEach(peer -> cluster.network().heal(node, peer));
        }
        cluster.state().outage(false);
    }

    private static void finish(SimulatedCluster cluster, String what) {
        healAll(cluster);
        cluster.simulation().runUntil(cluster.simulation().now() + 260_000);
        assertEquals(List.of(), cluster.rules().breaches(), what);
        assertEquals(0, cluster.directCommands(), "direct commands");
        for (String job : JOBS) {
            assertEquals("done", cluster.told(job), what + " " + job);
        }
    }

    /** As long as one controller keeps all its links, there is a path for every report and every call. */
    @ParameterizedTest
    @MethodSource("seeds")
    void whereAPathIsLeftNoTaskDiesWithItsLease(int seed) throws Exception {
        try (Transcript transcript = Transcript.open("link-fault-path-left-" + seed)) {
            whereAPathIsLeft(seed, transcript);
        }
    }

    private static void whereAPathIsLeft(int seed, Transcript transcript) throws Exception {
        Random random = new Random(seed);
        SimulatedCluster cluster = cluster(transcript);
        List<String> nodes =
                cluster.nodes().stream().filter(node -> !node.equals(WHOLE)).toList();
        for (int i = 0; i < 25; i++) {
            turn(cluster, random, nodes, HEARD);
            cluster.simulation().runUntil(cluster.simulation().now() + 500 + random.nextInt(4500));
        }
        assertEquals(0, cluster.rules().killedByLease(), "seed " + seed);
        finish(cluster, "seed " + seed);
    }

    /** Links, controllers and the state service, all at once; what is lost is done again, and no rule is broken. */
    @ParameterizedTest
    @MethodSource("seeds")
    void noRuleIsBrokenWhateverFails(int seed) throws Exception {
        try (Transcript transcript = Transcript.open("link-fault-any-" + seed)) {
            whateverFails(seed, transcript);
        }
    }

    private static void whateverFails(int seed, Transcript transcript) throws Exception {
        Random random = new Random(1000 + seed);
        SimulatedCluster cluster = cluster(transcript);
        for (int i = 0; i < 30; i++) {
            String node = any(random, cluster.nodes());
            switch (random.nextInt(9)) {
                case 0 -> cluster.crash(node, 200 + random.nextInt(6000));
                case 1 -> cluster.freeze(node, 500 + random.nextInt(20_000));
                case 2 -> cluster.state().outage(random.nextInt(3) == 0);
                case 3 -> cluster.state().loseCommits(1 + random.nextInt(3), random.nextInt(20_000));
                case 4 -> {
                    if (i == 15) {
                        cluster.cancel(JOBS.get(2));
                    }
                }
                default -> turn(cluster, random, cluster.nodes(), null);
            }
            cluster.simulation().runUntil(cluster.simulation().now() + 200 + random.nextInt(4000));
        }
        healAll(cluster);
        cluster.simulation().runUntil(cluster.simulation().now() + 260_000);
        assertEquals(List.of(), cluster.rules().breaches(), "seed " + seed);
        assertEquals(0, cluster.directCommands(), "direct commands");
        for (String job : JOBS) {
            assertTrue(List.of("done", "cancelled").contains(cluster.told(job)), "seed " + seed + " " + job);
        }
    }
}

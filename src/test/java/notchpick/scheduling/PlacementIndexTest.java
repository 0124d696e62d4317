package notchpick.scheduling;

import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/** The index chooses the best of all nodes and examines only a few of them. */
class PlacementIndexTest {
    private static final class Node implements CandidateNode {
        private final String type;
        private final String zone;
        private final boolean spot;
        private final Set<String> images = new HashSet<>();
        private Resources free;

        Node(String type, String zone, boolean spot, Resources free) {
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            this.free = free;
        }

        @Override
        public String type() {
            return type;
        }

        @Override
        public String zone() {
            return zone;
        }

        @Override
        public boolean isSpot() {
            return spot;
        }

        @Override
        public Resources freeResources() {
            return free;
        }

        @Override
        public Set<String> images() {
            return images;
        }
    }

    /** The best node, found by examining all. */
    private static Node bestByScan(List<Node> nodes, JobSpec spec, Predicate<Node> admits) {
        Node best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        for (Node node : nodes) {
            double score = node.free.cores() + (node.images.contains(spec.image()) ? 0 : 1e6) + (node.spot ? 0 : 2e6);
            if (score < bestScore
                    && spec.demand().fitsIn(node.free)
                    && spec.allows(node.type, node.zone, node.spot)
                    && admits.test(node)) {
                best = node;
                bestScore = score;
            }
        }
        return best;
    }

    private static JobSpec spec(Random random) {
        return TestJobs.job("run-1")
                .demand(new Resources(0.5 * (1 + random.nextInt(8)), 0, 1 + random.nextInt(6)))
                .types(random.nextInt(3) == 0 ? List.of("small") : null)
                .zone(random.nextInt(3) == 0 ? "east" : null)
                .spot(random.nextInt(4) > 0)
                .image("i" + random.nextInt(4))
                .build();
    }

    @Test
    void choosesTheBestOfAllNodes() {
        for (int seed = 0; seed < 60; seed++) {
            Random random = new Random(seed);
            List<Node> nodes = new ArrayList<>();
            for (int i = 0; i < 5 + random.nextInt(60); i++) {
                Node node = new Node(
                        random.nextBoolean() ? "small" : "large",
                        random.nextBoolean() ? "east" : "west",
                        random.nextInt(3) > 0,
                        new Resources(0.5 * random.nextInt(17), 0, random.nextInt(17)));
                for (int image = 0; image < 4; image++) {
                    if (random.nextInt(3) == 0) {
                        node.images.add("i" + image);
                    }
                }
                nodes.add(node);
            }
            PlacementIndex<Node> index = new PlacementIndex<>(nodes);
            for (int task = 0; task < 200; task++) {
                JobSpec spec = spec(random);
                Node excluded = nodes.get(random.nextInt(nodes.size()));
                Predicate<Node> admits = node -> node != excluded;
                Node chosen = index.choose(spec, admits);
                assertSame(bestByScan(nodes, spec, admits), chosen, "seed " + seed + " task " + task);
                if (chosen != null && random.nextInt(4) > 0) {
                    index.update(chosen, () -> {
                        chosen.free = chosen.free.minus(spec.demand());
                        chosen.images.add(spec.image());
                    });
                }
                if (random.nextInt(50) == 0) {
                    Node removed = nodes.remove(random.nextInt(nodes.size()));
                    index.remove(removed);
                    if (nodes.isEmpty()) {
                        break;
                    }
                }
            }
        }
    }

    @Test
    void choosesTheNodeWithTheShortestDelay() {
        Node full = new Node("small", "east", true, new Resources(2, 0, 64));
        Node empty = new Node("small", "east", true, new Resources(8, 0, 64));
        PlacementIndex<Node> index = new PlacementIndex<>(List.of(full, empty));
        JobSpec spec = TestJobs.job("run-1").priority(JobSpec.Priority.HIGH).build();
        assertSame(full, index.choose(spec, any -> true));
        assertSame(empty, index.chooseSoonest(spec, any -> true, node -> node == full ? 900 : 100));
        full.images.add("i");
        // Fetching an image takes longer than a heartbeat period, so the node with the image is preferred.
        PlacementIndex<Node> withImage = new PlacementIndex<>(List.of(full, empty));
        assertSame(full, withImage.chooseSoonest(spec, any -> true, node -> node == full ? 900 : 100));
    }

    @Test
    void updateDoesNotAddARemovedNode() {
        Random random = new Random(1);
        Node node = new Node("small", "east", true, new Resources(8, 0, 64));
        PlacementIndex<Node> index = new PlacementIndex<>(List.of(node));
        index.remove(node);
        index.update(node, () -> node.free = new Resources(4, 0, 32));
        assertSame(null, index.choose(spec(random), any -> true));
        assertTrue(index.nodes().isEmpty());
    }

    @Test
    void examinesFewNodesPerTask() {
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            nodes.add(new Node("small", "east", true, new Resources(8, 0, 64)));
        }
        PlacementIndex<Node> index = new PlacementIndex<>(nodes);
        JobSpec spec = TestJobs.job("run-1").build();
        int tasks = 4000;
        for (int i = 0; i < tasks; i++) {
            Node chosen = index.choose(spec, node -> true);
            index.update(chosen, () -> {
                chosen.free = chosen.free.minus(spec.demand());
                chosen.images.add("i");
            });
        }
        assertTrue(index.examined() <= 2L * tasks, "examined " + index.examined() + " nodes for " + tasks + " tasks");
    }
}

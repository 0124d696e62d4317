package notchpick.scheduling;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Chooses nodes for tasks by best fit: a spot instance if the job accepts one, then a node that has the image, then the one
 * with the fewest free cores, so that others fall idle and can be returned. The nodes are kept sorted by their free cores,
 * so that few are examined for each task.
 */
public final class PlacementIndex<N extends CandidateNode> {
    private static final Comparator<Entry<?>> BY_FREE_CORES =
            Comparator.<Entry<?>>comparingDouble(Entry::freeCores).thenComparingInt(Entry::number);

    /**
     * A node as it is sorted.
     *
     * @param number its place among the nodes that the index was made of, which decides between equals
     */
    private record Entry<N>(double freeCores, int number, N node) {}

    /** Nodes, all of them spot instances or none: sorted as a whole and, once asked for, those with an image. */
    private static final class SortedNodes<N extends CandidateNode> {
        private final TreeSet<Entry<N>> all = new TreeSet<>(BY_FREE_CORES);
        private final Map<String, TreeSet<Entry<N>>> byImage = new HashMap<>();

        private void add(Entry<N> entry) {
            all.add(entry);
            byImage.forEach((image, entries) -> {
                if (entry.node().images().contains(image)) {
                    entries.add(entry);
                }
            });
        }

        private void remove(Entry<N> entry) {
            all.remove(entry);
            byImage.values().forEach(entries -> entries.remove(entry));
        }

        private TreeSet<Entry<N>> withImage(String image) {
            return byImage.computeIfAbsent(image, this::selectWithImage);
        }

        private TreeSet<Entry<N>> selectWithImage(String image) {
            TreeSet<Entry<N>> entries = new TreeSet<>(BY_FREE_CORES);
            for (Entry<N> entry : all) {
                if (entry.node().images().contains(image)) {
                    entries.add(entry);
                }
            }
            return entries;
        }
    }

    private final SortedNodes<N> spot = new SortedNodes<>();
    private final SortedNodes<N> onDemand = new SortedNodes<>();
    private final Map<N, Entry<N>> entries = new IdentityHashMap<>();
    private long examined;

    public PlacementIndex(Collection<N> nodes) {
        for (N node : nodes) {
            put(new Entry<>(node.freeResources().cores(), entries.size(), node));
        }
    }

    private SortedNodes<N> nodesLike(N node) {
        return node.isSpot() ? spot : onDemand;
    }

    private void put(Entry<N> entry) {
        entries.put(entry.node(), entry);
        nodesLike(entry.node()).add(entry);
    }

    /** Runs a change of a node's free resources or images. A node that has been removed may change, and stays removed. */
    public void update(N node, Runnable change) {
        Entry<N> entry = entries.get(node);
        if (entry == null) {
            // It was chosen, then reserved for another job before the lease was granted.
            change.run();
            return;
        }
        nodesLike(node).remove(entry);
        change.run();
        put(new Entry<>(node.freeResources().cores(), entry.number(), node));
    }

    /** Removes a node, if it is there. */
    public void remove(N node) {
        Entry<N> entry = entries.remove(node);
        if (entry != null) {
            nodesLike(node).remove(entry);
        }
    }

    /** The nodes in the order in which they were given. */
    public Collection<N> nodes() {
        return entries.values().stream()
                .sorted(Comparator.comparingInt(Entry::number))
                .map(Entry::node)
                .toList();
    }

    /** How many nodes have been examined in all, each as often as it was. */
    public long examined() {
        return examined;
    }

    /** The best node for one task, or null if none will do. */
    public N choose(JobSpec spec, Predicate<N> admits) {
        return choose(spec, admits, null);
    }

    /**
     * The node on which the task can start soonest, among those that are equal but for their free cores; null if none will
     * do.
     *
     * @param startDelay a node's delay; 0 or less can't be improved
     */
    public N chooseSoonest(JobSpec spec, Predicate<N> admits, ToLongFunction<N> startDelay) {
        return choose(spec, admits, startDelay);
    }

    private N choose(JobSpec spec, Predicate<N> admits, ToLongFunction<N> startDelay) {
        N best = spec.spot() ? choose(spot, spec, admits, startDelay) : null;
        return best != null ? best : choose(onDemand, spec, admits, startDelay);
    }

    private N choose(SortedNodes<N> nodes, JobSpec spec, Predicate<N> admits, ToLongFunction<N> startDelay) {
        if (nodes.all.isEmpty()) {
            return null;
        }
        N best = choose(nodes.withImage(spec.image()), spec, admits, startDelay);
        if (best != null) {
            return best;
        }
        return choose(nodes.all, spec, node -> !node.images().contains(spec.image()) && admits.test(node), startDelay);
    }

    private N choose(TreeSet<Entry<N>> sorted, JobSpec spec, Predicate<N> admits, ToLongFunction<N> startDelay) {
        Entry<N> leastFreeCores = new Entry<>(spec.demand().cores() - Resources.EPSILON, -1, null);
        N best = null;
        long bestDelay = Long.MAX_VALUE;
        for (Entry<N> entry : sorted.tailSet(leastFreeCores)) {
            N node = entry.node();
            examined++;
            long delay = startDelay == null ? 0 : startDelay.applyAsLong(node);
            if (delay < bestDelay
                    && spec.demand().fitsIn(node.freeResources())
                    && spec.allows(node.type(), node.zone(), node.isSpot())
                    && admits.test(node)) {
                best = node;
                bestDelay = delay;
                if (delay <= 0) {
                    break;
                }
            }
        }
        return best;
    }
}

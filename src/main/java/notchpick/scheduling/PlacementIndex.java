package notchpick.scheduling;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Chooses nodes for tasks by best fit. It prefers a spot instance if the job accepts one, then a node that has the
 * image, then the node with the fewest free cores, so that other nodes become idle and can be returned. The nodes are
 * kept sorted by their free cores, so that only a few of them are examined for each task.
 */
public final class PlacementIndex<N extends CandidateNode> {
    private static final Comparator<Entry<?>> BY_FREE_CORES =
            Comparator.<Entry<?>>comparingDouble(Entry::freeCores).thenComparingInt(Entry::number);

    /**
     * A node with its sort keys.
     *
     * @param number its position in the collection from which the index was built, which breaks ties
     */
    private record Entry<N>(double freeCores, int number, N node) {}

    /** Either the spot instances or the on-demand nodes. The subset that has an image is built on first use. */
    private static final class SortedNodes<N extends CandidateNode> {
        private final TreeSet<Entry<N>> all = new TreeSet<>(BY_FREE_CORES);
        private final Map<String, NavigableSet<Entry<N>>> byImage = new HashMap<>();

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

        private NavigableSet<Entry<N>> withImage(String image) {
            return byImage.computeIfAbsent(image, this::selectWithImage);
        }

        private NavigableSet<Entry<N>> selectWithImage(String image) {
            NavigableSet<Entry<N>> entries = new TreeSet<>(BY_FREE_CORES);
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
    private final IdentityHashMap<N, Entry<N>> entries = new IdentityHashMap<>();
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

    /** Changes a node's free resources or images and updates the index. A node removed from the index stays removed. */
    public void update(N node, Runnable change) {
        Entry<N> entry = entries.get(node);
        if (entry == null) {
            // After the node was chosen, it was reserved for another job before the lease was granted.
            change.run();
            return;
        }
        nodesLike(node).remove(entry);
        change.run();
        put(new Entry<>(node.freeResources().cores(), entry.number(), node));
    }

    /** Removes a node if it is in the index. */
    public void remove(N node) {
        Entry<N> entry = entries.remove(node);
        if (entry != null) {
            nodesLike(node).remove(entry);
        }
    }

    /** The nodes in the order in which they were passed to the constructor. */
    public Collection<N> nodes() {
        return entries.values().stream()
                .sorted(Comparator.comparingInt(Entry::number))
                .map(Entry::node)
                .toList();
    }

    /** The number of nodes examined so far; a node that is examined twice counts twice. */
    public long examined() {
        return examined;
    }

    /** The best node for one task, or null if none is suitable. */
    public N choose(JobSpec spec, Predicate<N> admits) {
        return choose(spec, admits, null);
    }

    /**
     * Like {@link #choose(JobSpec, Predicate)}, but prefers the shortest start delay to the fewest free cores.
     *
     * @param startDelay the delay on a node; the search ends at the first suitable node whose delay is 0 or less
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

    private N choose(NavigableSet<Entry<N>> sorted, JobSpec spec, Predicate<N> admits, ToLongFunction<N> startDelay) {
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

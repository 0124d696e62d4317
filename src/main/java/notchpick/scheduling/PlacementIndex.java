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
 * Chooses among machines, or leased room on them: a cheap one, then one that has the image, then the one
 * that the task leaves fullest, so that others fall idle and can be returned. They are kept sorted by the
 * room that is left, so that a choice looks only at those that may be the best.
 */
public final class PlacementIndex<S extends CandidateNode> {
    private static final Comparator<Entry<?>> ORDER =
            Comparator.<Entry<?>>comparingDouble(Entry::cores).thenComparingInt(Entry::number);

    private record Entry<S>(double cores, int number, S site) {}

    /** Sites of one kind: all of them, and by image those that have it, once it has been asked for. */
    private static final class Kind<S extends CandidateNode> {
        private final TreeSet<Entry<S>> all = new TreeSet<>(ORDER);
        private final Map<String, TreeSet<Entry<S>>> byImage = new HashMap<>();

        private void add(Entry<S> entry) {
            all.add(entry);
            byImage.forEach((image, having) -> {
                if (entry.site().images().contains(image)) {
                    having.add(entry);
                }
            });
        }

        private void remove(Entry<S> entry) {
            all.remove(entry);
            byImage.values().forEach(having -> having.remove(entry));
        }

        private TreeSet<Entry<S>> having(String image) {
            return byImage.computeIfAbsent(image, i -> {
                TreeSet<Entry<S>> having = new TreeSet<>(ORDER);
                for (Entry<S> entry : all) {
                    if (entry.site().images().contains(i)) {
                        having.add(entry);
                    }
                }
                return having;
            });
        }
    }

    private final Kind<S> cheap = new Kind<>();
    private final Kind<S> ordinary = new Kind<>();
    private final Map<S, Entry<S>> entries = new IdentityHashMap<>();
    private long looks;

    public PlacementIndex(Collection<S> sites) {
        for (S site : sites) {
            put(new Entry<>(site.freeResources().cores(), entries.size(), site));
        }
    }

    private Kind<S> kind(S site) {
        return site.isSpot() ? cheap : ordinary;
    }

    private void put(Entry<S> entry) {
        entries.put(entry.site(), entry);
        kind(entry.site()).add(entry);
    }

    /** Makes a change of a site's room or images; of one that has been removed too, which stays so. */
    public void change(S site, Runnable change) {
        Entry<S> entry = entries.get(site);
        if (entry == null) {
            // Chosen, then barred for others before it was granted.
            change.run();
            return;
        }
        kind(site).remove(entry);
        change.run();
        put(new Entry<>(site.freeResources().cores(), entry.number(), site));
    }

    /** Takes a site out of the index, which must hold it. */
    public void remove(S site) {
        Entry<S> entry = entries.remove(site);
        if (entry != null) {
            kind(site).remove(entry);
        }
    }

    /** The sites in the order in which they were given. */
    public Collection<S> sites() {
        return entries.values().stream()
                .sorted(Comparator.comparingInt(Entry::number))
                .map(Entry::site)
                .toList();
    }

    /** How many sites have been looked at in all. */
    public long looks() {
        return looks;
    }

    /** The best of the sites for one task, or null if none will do. */
    public S choose(JobSpec spec, Predicate<S> admits) {
        return choose(spec, admits, null);
    }

    /** The same for a task that can't wait: it goes where it can be soonest rather than to the fullest. */
    public S chooseSoonest(JobSpec spec, Predicate<S> admits, ToLongFunction<S> delay) {
        return choose(spec, admits, delay);
    }

    private S choose(JobSpec spec, Predicate<S> admits, ToLongFunction<S> delay) {
        S best = spec.spot() ? choose(cheap, spec, admits, delay) : null;
        return best != null ? best : choose(ordinary, spec, admits, delay);
    }

    private S choose(Kind<S> kind, JobSpec spec, Predicate<S> admits, ToLongFunction<S> delay) {
        if (kind.all.isEmpty()) {
            return null;
        }
        S best = choose(kind.having(spec.image()), spec, admits, true, delay);
        return best != null ? best : choose(kind.all, spec, admits, false, delay);
    }

    private S choose(
            TreeSet<Entry<S>> sites, JobSpec spec, Predicate<S> admits, boolean having, ToLongFunction<S> delay) {
        Entry<S> least = new Entry<>(spec.demand().cores() - Resources.EPSILON, -1, null);
        S best = null;
        long bestDelay = Long.MAX_VALUE;
        for (Entry<S> entry : sites.tailSet(least)) {
            S site = entry.site();
            looks++;
            long siteDelay = delay == null ? 0 : delay.applyAsLong(site);
            if (siteDelay < bestDelay
                    && (having || !site.images().contains(spec.image()))
                    && spec.demand().fitsIn(site.freeResources())
                    && spec.allows(site.type(), site.zone(), site.isSpot())
                    && admits.test(site)) {
                best = site;
                bestDelay = siteDelay;
                if (siteDelay <= 0) {
                    break;
                }
            }
        }
        return best;
    }
}

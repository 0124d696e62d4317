package notchpick.scheduling;

import java.util.Collection;
import java.util.Set;

/** Chooses among machines with room. */
public final class Packing {
    /** Either outweighs any number of cores, and the latter the former. */
    private static final double IMAGE_WEIGHT = 1e6;
    private static final double ORDINARY_WEIGHT = 2e6;

    private Packing() {}

    /** A machine, or leased room on one, as far as a choice needs it. */
    public interface Site {
        String type();

        String zone();

        boolean spot();

        Amounts room();

        Set<String> images();
    }

    /**
     * The best of the sites for one task, or null if none will do: a cheap one, then one that has the
     * image, then the one that the task leaves fullest, so that others fall idle and can be returned.
     */
    public static <S extends Site> S choose(Collection<S> sites, JobSpec spec, java.util.function.Predicate<S> admits) {
        S best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        for (S site : sites) {
            if (!spec.demand().fitsIn(site.room())
                    || !spec.allows(site.type(), site.zone(), site.spot())
                    || !admits.test(site)) {
                continue;
            }
            double score = site.room().cores() + (site.images().contains(spec.image()) ? 0 : IMAGE_WEIGHT)
                    + (site.spot() ? 0 : ORDINARY_WEIGHT);
            if (score < bestScore) {
                best = site;
                bestScore = score;
            }
        }
        return best;
    }
}

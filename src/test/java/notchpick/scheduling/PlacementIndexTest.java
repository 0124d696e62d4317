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

/** The index chooses what the plain form does, and looks at few sites for it. */
class PlacementIndexTest {
    private static final class Site implements CandidateNode {
        private final String type;
        private final String zone;
        private final boolean spot;
        private final Set<String> images = new HashSet<>();
        private Resources room;

        Site(String type, String zone, boolean spot, Resources room) {
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            this.room = room;
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
            return room;
        }

        @Override
        public Set<String> images() {
            return images;
        }
    }

    /** What the index must choose, without an index. */
    private static Site plainly(List<Site> sites, JobSpec spec, Predicate<Site> admits) {
        Site best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        for (Site site : sites) {
            double score = site.room.cores() + (site.images.contains(spec.image()) ? 0 : 1e6) + (site.spot ? 0 : 2e6);
            if (score < bestScore
                    && spec.demand().fitsIn(site.room)
                    && spec.allows(site.type, site.zone, site.spot)
                    && admits.test(site)) {
                best = site;
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
    void choosesAsThePlainFormDoes() {
        for (int seed = 0; seed < 60; seed++) {
            Random random = new Random(seed);
            List<Site> sites = new ArrayList<>();
            for (int i = 0; i < 5 + random.nextInt(60); i++) {
                Site site = new Site(
                        random.nextBoolean() ? "small" : "large",
                        random.nextBoolean() ? "east" : "west",
                        random.nextInt(3) > 0,
                        new Resources(0.5 * random.nextInt(17), 0, random.nextInt(17)));
                for (int image = 0; image < 4; image++) {
                    if (random.nextInt(3) == 0) {
                        site.images.add("i" + image);
                    }
                }
                sites.add(site);
            }
            PlacementIndex<Site> index = new PlacementIndex<>(sites);
            for (int task = 0; task < 200; task++) {
                JobSpec spec = spec(random);
                Site shunned = sites.get(random.nextInt(sites.size()));
                Predicate<Site> admits = site -> site != shunned;
                Site chosen = index.choose(spec, admits);
                assertSame(plainly(sites, spec, admits), chosen, "seed " + seed + " task " + task);
                if (chosen != null && random.nextInt(4) > 0) {
                    index.change(chosen, () -> {
                        chosen.room = chosen.room.minus(spec.demand());
                        chosen.images.add(spec.image());
                    });
                }
                if (random.nextInt(50) == 0) {
                    Site removed = sites.remove(random.nextInt(sites.size()));
                    index.remove(removed);
                    if (sites.isEmpty()) {
                        break;
                    }
                }
            }
        }
    }

    @Test
    void whatCannotWaitGoesWhereItIsSoonest() {
        Site full = new Site("small", "east", true, new Resources(2, 0, 64));
        Site empty = new Site("small", "east", true, new Resources(8, 0, 64));
        PlacementIndex<Site> index = new PlacementIndex<>(List.of(full, empty));
        JobSpec spec = TestJobs.job("run-1").priority(JobSpec.Priority.HIGH).build();
        assertSame(full, index.choose(spec, any -> true));
        assertSame(empty, index.chooseSoonest(spec, any -> true, site -> site == full ? 900 : 100));
        full.images.add("i");
        // An image that is there saves more than a report period.
        PlacementIndex<Site> anew = new PlacementIndex<>(List.of(full, empty));
        assertSame(full, anew.chooseSoonest(spec, any -> true, site -> site == full ? 900 : 100));
    }

    @Test
    void aRemovedSiteMayChangeAndStaysAway() {
        Random random = new Random(1);
        Site site = new Site("small", "east", true, new Resources(8, 0, 64));
        PlacementIndex<Site> index = new PlacementIndex<>(List.of(site));
        index.remove(site);
        index.change(site, () -> site.room = new Resources(4, 0, 32));
        assertSame(null, index.choose(spec(random), any -> true));
        assertTrue(index.sites().isEmpty());
    }

    @Test
    void looksAtFewSitesHoweverManyThereAre() {
        List<Site> sites = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            sites.add(new Site("small", "east", true, new Resources(8, 0, 64)));
        }
        PlacementIndex<Site> index = new PlacementIndex<>(sites);
        JobSpec spec = TestJobs.job("run-1").build();
        int tasks = 4000;
        for (int i = 0; i < tasks; i++) {
            Site chosen = index.choose(spec, site -> true);
            index.change(chosen, () -> {
                chosen.room = chosen.room.minus(spec.demand());
                chosen.images.add("i");
            });
        }
        assertTrue(index.looks() <= 2L * tasks, "looked at " + index.looks() + " sites for " + tasks + " tasks");
    }
}

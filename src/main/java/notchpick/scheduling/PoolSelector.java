package notchpick.scheduling;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** Chooses the pool to scale out for a job: spot instances first, then the lowest price per core the job would use. */
final class PoolSelector {
    /** The factor on the price of a pool whose machines currently take too long to become ready. */
    private static final double LATE_PRICE_FACTOR = 2;
    /** Keeps the price per core finite for jobs that request no cores. */
    private static final double MIN_USED_CORES = 1e-3;

    private final Collection<MachineType> types;
    private final Predicate<NodePool> refused;
    private final Predicate<NodePool> late;
    private final Map<NodePool, Integer> machines = new HashMap<>();

    /**
     * @param refused matches pools that the cloud has recently refused
     * @param late matches pools whose machines currently take too long to become ready
     */
    PoolSelector(Collection<MachineType> types, Predicate<NodePool> refused, Predicate<NodePool> late) {
        this.types = types;
        this.refused = refused;
        this.late = late;
    }

    /** A pool that can be scaled out, and the type of its machines. */
    record Offer(NodePool pool, MachineType type) {}

    /** Counts one more machine of the pool, owned or to be rented. */
    void countMachine(NodePool pool) {
        machines.merge(pool, 1, Integer::sum);
    }

    /** The pool for one more machine to run up to {@code tasks} of the job's tasks; empty if none is suitable. */
    Optional<Offer> select(JobDemand demand, int tasks) {
        Optional<Offer> spot = cheapest(demand, tasks, true);
        return spot.isPresent() || !demand.mayRentOnDemand() ? spot : cheapest(demand, tasks, false);
    }

    /**
     * The cheapest suitable pool. Of equally cheap pools, it is the one with the fewest machines, so that a single
     * reclaim wave or outage does not affect all machines.
     */
    private Optional<Offer> cheapest(JobDemand demand, int tasks, boolean spot) {
        Offer best = null;
        double bestPrice = 0;
        for (MachineType type : types) {
            for (String zone : type.zones()) {
                NodePool pool = new NodePool(type.name(), zone, spot);
                if (!canRun(demand.spec(), type, pool)) {
                    continue;
                }
                double price = pricePerUsedCore(demand.spec(), tasks, type, pool);
                if (best == null
                        || price < bestPrice
                        || (price == bestPrice && machineCount(pool) < machineCount(best.pool()))) {
                    best = new Offer(pool, type);
                    bestPrice = price;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean canRun(JobSpec spec, MachineType type, NodePool pool) {
        return spec.allows(pool.type(), pool.zone(), pool.spot())
                && spec.demand().fitsIn(type.size())
                && !refused.test(pool);
    }

    /** The price of a whole machine, divided by the number of its cores that the job would use. */
    private double pricePerUsedCore(JobSpec spec, int tasks, MachineType type, NodePool pool) {
        int packed = Math.min(tasks, spec.demand().copiesFittingIn(type.size()));
        double usedCores = Math.max(packed * spec.demand().cores(), MIN_USED_CORES);
        return type.price(pool.spot()) / usedCores * (late.test(pool) ? LATE_PRICE_FACTOR : 1);
    }

    private int machineCount(NodePool pool) {
        return machines.getOrDefault(pool, 0);
    }
}

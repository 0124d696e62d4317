package notchpick.scheduling;

/** A machine, owned or to be rented, onto which demand is packed. */
final class PackedMachine {
    private final NodePool pool;
    private Resources freeResources;
    private boolean used;

    PackedMachine(NodePool pool, Resources size) {
        this.pool = pool;
        this.freeResources = size;
    }

    /** Packs up to {@code tasks} of the job's tasks, and returns how many it packed. */
    int pack(JobDemand demand, int tasks) {
        JobSpec spec = demand.spec();
        if (!hasCores(spec.demand().cores())
                || !spec.allows(pool.type(), pool.zone(), pool.spot())
                || (!pool.spot() && !demand.mayUseOnDemand())) {
            return 0;
        }
        int packed = Math.min(tasks, spec.demand().copiesFittingIn(freeResources));
        if (packed > 0) {
            freeResources = freeResources.minus(spec.demand().times(packed));
            used = true;
        }
        return packed;
    }

    boolean hasCores(double cores) {
        return freeResources.cores() + Resources.EPSILON >= cores;
    }

    boolean isUsed() {
        return used;
    }
}

package notchpick.scheduling;

/** A machine, owned or to be rented, onto which demand is packed. */
final class PackedMachine {
    private final NodePool pool;
    private final boolean busy;
    private Resources freeResources;
    private boolean used;

    /** @param busy whether tasks run on the machine, so that it is paid for anyway */
    PackedMachine(NodePool pool, Resources size, boolean busy) {
        this.pool = pool;
        this.busy = busy;
        this.freeResources = size;
    }

    /** Packs up to {@code tasks} of the job's tasks, and returns how many it packed. */
    int pack(JobDemand demand, int tasks) {
        JobSpec spec = demand.spec();
        if (!hasCores(spec.demand().cores())
                || !spec.allows(pool.type(), pool.zone(), pool.spot())
                || !isAccessible(demand)) {
            return 0;
        }
        int packed = Math.min(tasks, spec.demand().copiesFittingIn(freeResources));
        if (packed > 0) {
            freeResources = freeResources.minus(spec.demand().times(packed));
            used = true;
        }
        return packed;
    }

    /** Whether the job may use the machine: an idle on-demand machine is not kept for a job that spot can serve. */
    private boolean isAccessible(JobDemand demand) {
        return switch (demand.onDemandAccess()) {
            case NONE -> pool.spot();
            case RUNNING_MACHINES -> pool.spot() || busy;
            case RENTAL -> true;
        };
    }

    boolean hasCores(double cores) {
        return freeResources.cores() + Resources.EPSILON >= cores;
    }

    boolean isUsed() {
        return used;
    }
}

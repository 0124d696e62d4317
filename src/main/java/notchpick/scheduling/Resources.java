package notchpick.scheduling;

/**
 * Amounts of the resources that jobs share. Differences may be negative. {@link StatefulDrf} also uses this class for
 * fractions of the total of each resource.
 *
 * @param ram in GB
 */
public record Resources(double cores, double gpus, double ram) {
    public static final Resources NONE = new Resources(0, 0, 0);
    /** The tolerance of comparisons, because sums of decimal amounts are not exact in floating point. */
    public static final double EPSILON = 1e-6;

    public Resources plus(Resources other) {
        return new Resources(cores + other.cores, gpus + other.gpus, ram + other.ram);
    }

    public Resources minus(Resources other) {
        return new Resources(cores - other.cores, gpus - other.gpus, ram - other.ram);
    }

    public Resources times(double factor) {
        return new Resources(cores * factor, gpus * factor, ram * factor);
    }

    /** Whether {@code free} has at least this much of each resource. */
    public boolean fitsIn(Resources free) {
        return cores <= free.cores + EPSILON && gpus <= free.gpus + EPSILON && ram <= free.ram + EPSILON;
    }

    /** How many times this amount fits into {@code free}; the largest integer if this amount is zero. */
    public int copiesFittingIn(Resources free) {
        double count = Integer.MAX_VALUE;
        count = cores > 0 ? Math.min(count, (free.cores + EPSILON) / cores) : count;
        count = gpus > 0 ? Math.min(count, (free.gpus + EPSILON) / gpus) : count;
        count = ram > 0 ? Math.min(count, (free.ram + EPSILON) / ram) : count;
        return (int) Math.max(0, count);
    }
}

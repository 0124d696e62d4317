package notchpick.scheduling;

/** Amounts of the resources that are shared. */
public record Resources(double cores, double gpus, double ram) {
    public static final Resources NONE = new Resources(0, 0, 0);
    /** Sums of decimal amounts are compared with this much slack. */
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

    public boolean fitsIn(Resources room) {
        return cores <= room.cores + EPSILON && gpus <= room.gpus + EPSILON && ram <= room.ram + EPSILON;
    }

    /** How many of these fit into the room side by side. */
    public int copiesFittingIn(Resources room) {
        double count = Integer.MAX_VALUE;
        count = cores > 0 ? Math.min(count, (room.cores + EPSILON) / cores) : count;
        count = gpus > 0 ? Math.min(count, (room.gpus + EPSILON) / gpus) : count;
        count = ram > 0 ? Math.min(count, (room.ram + EPSILON) / ram) : count;
        return (int) Math.max(0, count);
    }
}

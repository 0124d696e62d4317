package notchpick.scheduling;

/** Amounts of the resources that are shared. */
public record Amounts(double cores, double gpus, double ram) {
    public static final Amounts NONE = new Amounts(0, 0, 0);
    /** Sums of decimal amounts are compared with this much slack. */
    public static final double SLACK = 1e-6;

    public Amounts plus(Amounts other) {
        return new Amounts(cores + other.cores, gpus + other.gpus, ram + other.ram);
    }

    public Amounts minus(Amounts other) {
        return new Amounts(cores - other.cores, gpus - other.gpus, ram - other.ram);
    }

    public Amounts times(double factor) {
        return new Amounts(cores * factor, gpus * factor, ram * factor);
    }

    public boolean fitsIn(Amounts room) {
        return cores <= room.cores + SLACK && gpus <= room.gpus + SLACK && ram <= room.ram + SLACK;
    }

    /** How many of these fit into the room side by side. */
    public int countIn(Amounts room) {
        double count = Integer.MAX_VALUE;
        count = cores > 0 ? Math.min(count, (room.cores + SLACK) / cores) : count;
        count = gpus > 0 ? Math.min(count, (room.gpus + SLACK) / gpus) : count;
        count = ram > 0 ? Math.min(count, (room.ram + SLACK) / ram) : count;
        return (int) Math.max(0, count);
    }
}

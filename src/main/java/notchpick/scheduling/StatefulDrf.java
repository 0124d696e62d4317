package notchpick.scheduling;

/**
 * The formulas of Stateful Dominant Resource Fairness: shares, overuse above the equal share, and commitments that
 * follow overuse with exponential memory (paper, sections 3.4 and 5.1). All are fractions of a resource's total.
 */
public final class StatefulDrf {
    private StatefulDrf() {}

    /** The share of each resource that is held; 0 for a resource whose total is 0. */
    public static Resources share(Resources held, Resources total) {
        return new Resources(
                fraction(held.cores(), total.cores()),
                fraction(held.gpus(), total.gpus()),
                fraction(held.ram(), total.ram()));
    }

    /** Equation 7: the part of the share above the equal share, or 0 if the share is smaller. */
    public static Resources overuse(Resources share, int teams) {
        double equalShare = 1.0 / Math.max(1, teams);
        return new Resources(
                Math.max(share.cores() - equalShare, 0),
                Math.max(share.gpus() - equalShare, 0),
                Math.max(share.ram() - equalShare, 0));
    }

    /**
     * Equation 12: the commitment after a period of constant overuse.
     *
     * @param previous the commitment at the start of the period
     * @param elapsedS the length of the period, in seconds; negative values, from a clock that was set back, count as 0
     * @param tauS the time constant of the decay, in seconds
     */
    public static Resources commitment(Resources previous, Resources overuse, double elapsedS, double tauS) {
        double delta = Math.exp(-Math.max(elapsedS, 0) / tauS);
        return overuse.times(1 - delta).plus(previous.times(delta));
    }

    /** Algorithm 1, line 5: dominant share plus dominant commitment. The team with the lowest sum is served first. */
    public static double rank(Resources share, Resources commitment) {
        return dominant(share) + dominant(commitment);
    }

    /** The largest of the fractions. */
    public static double dominant(Resources fractions) {
        return Math.max(fractions.cores(), Math.max(fractions.gpus(), fractions.ram()));
    }

    private static double fraction(double held, double total) {
        return total > 0 ? held / total : 0;
    }
}

package notchpick.scheduling;

/**
 * The arithmetic of Stateful Dominant Resource Fairness: shares, overuse above the equal share, and
 * commitments that follow overuse with an exponential memory (paper, sections 3.4 and 5.1).
 */
public final class StatefulDrf {
    private StatefulDrf() {}

    /** The fraction of each resource that is held; 0 of a resource of which there is none. */
    public static Resources share(Resources held, Resources total) {
        return new Resources(
                fraction(held.cores(), total.cores()),
                fraction(held.gpus(), total.gpus()),
                fraction(held.ram(), total.ram()));
    }

    /** Equation 7: what is held beyond one of n equal parts. */
    public static Resources overuse(Resources share, int teams) {
        double equal = 1.0 / Math.max(1, teams);
        return new Resources(
                Math.max(share.cores() - equal, 0),
                Math.max(share.gpus() - equal, 0),
                Math.max(share.ram() - equal, 0));
    }

    /** Equation 12: the commitment after overuse has stayed the same for some time. */
    public static Resources commitment(Resources before, Resources overuse, double elapsedS, double tauS) {
        double delta = Math.exp(-Math.max(elapsedS, 0) / tauS);
        return overuse.times(1 - delta).plus(before.times(delta));
    }

    /** Algorithm 1, line 5: teams are served in rising order of this. */
    public static double rank(Resources share, Resources commitment) {
        return largest(share) + largest(commitment);
    }

    /** The dominant one. */
    public static double largest(Resources amounts) {
        return Math.max(amounts.cores(), Math.max(amounts.gpus(), amounts.ram()));
    }

    private static double fraction(double held, double total) {
        return total > 0 ? held / total : 0;
    }
}

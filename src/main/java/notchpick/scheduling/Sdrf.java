package notchpick.scheduling;

/**
 * The arithmetic of Stateful Dominant Resource Fairness: shares, overuse above the equal share, and
 * commitments that follow overuse with an exponential memory (paper, sections 3.4 and 5.1).
 */
public final class Sdrf {
    private Sdrf() {}

    /** The fraction of each resource that is held; 0 of a resource of which there is none. */
    public static Amounts share(Amounts held, Amounts total) {
        return new Amounts(
                fraction(held.cores(), total.cores()),
                fraction(held.gpus(), total.gpus()),
                fraction(held.ram(), total.ram()));
    }

    /** Equation 7: what is held beyond one of n equal parts. */
    public static Amounts overuse(Amounts share, int teams) {
        double equal = 1.0 / Math.max(1, teams);
        return new Amounts(
                Math.max(share.cores() - equal, 0),
                Math.max(share.gpus() - equal, 0),
                Math.max(share.ram() - equal, 0));
    }

    /** Equation 12: the commitment after overuse has stayed the same for some time. */
    public static Amounts commitment(Amounts before, Amounts overuse, double elapsedS, double tauS) {
        double delta = Math.exp(-Math.max(elapsedS, 0) / tauS);
        return overuse.times(1 - delta).plus(before.times(delta));
    }

    /** Algorithm 1, line 5: teams are served in rising order of this. */
    public static double rank(Amounts share, Amounts commitment) {
        return largest(share) + largest(commitment);
    }

    /** The dominant one. */
    public static double largest(Amounts amounts) {
        return Math.max(amounts.cores(), Math.max(amounts.gpus(), amounts.ram()));
    }

    private static double fraction(double held, double total) {
        return total > 0 ? held / total : 0;
    }
}

package notchpick.coordination.membership;

/**
 * A term for which this controller has been elected leader.
 *
 * @param number the term, which increases with each election and serves as the fencing token
 * @param keyVersion the version of the leader key; every write of the leader requires it
 * @param leaseUntilMs the time of the steady clock, in milliseconds, before which the leader lease can't expire
 */
public record ElectedTerm(long number, long keyVersion, long leaseUntilMs) {}

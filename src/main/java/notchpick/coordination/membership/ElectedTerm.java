package notchpick.coordination.membership;

/**
 * A term for which this controller has been elected leader.
 *
 * @param number rises with each election; it is the fencing token of the term
 * @param keyVersion the version of the leader key, on which every write of the leader is conditional
 * @param leaseUntilMs until when the leader lease is surely held, in milliseconds of the steady clock
 */
public record ElectedTerm(long number, long keyVersion, long leaseUntilMs) {}

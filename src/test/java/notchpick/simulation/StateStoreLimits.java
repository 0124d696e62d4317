package notchpick.simulation;

/**
 * What the state store accepts.
 *
 * @param valueBytes the largest value
 * @param transactionWrites the most puts and deletes in one transaction
 * @param writesPerS puts and deletes in a second
 */
public record StateStoreLimits(int valueBytes, int transactionWrites, double writesPerS) {
    private static final int DEFAULT_TRANSACTION_WRITES = 12;

    /** The usual limits with another rate of writes. */
    static StateStoreLimits withRate(double writesPerS) {
        return new StateStoreLimits(SimulatedStateStore.MAX_VALUE_BYTES, DEFAULT_TRANSACTION_WRITES, writesPerS);
    }
}

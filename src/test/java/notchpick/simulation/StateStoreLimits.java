package notchpick.simulation;

/**
 * Limits that the state store enforces.
 *
 * @param valueBytes the size of the largest value
 * @param transactionWrites the most puts and deletes in one transaction
 * @param writesPerS puts and deletes accepted per second
 */
public record StateStoreLimits(int valueBytes, int transactionWrites, double writesPerS) {
    private static final int DEFAULT_TRANSACTION_WRITES = 12;

    /** The default limits with the given write rate. */
    static StateStoreLimits withRate(double writesPerS) {
        return new StateStoreLimits(SimulatedStateStore.MAX_VALUE_BYTES, DEFAULT_TRANSACTION_WRITES, writesPerS);
    }
}

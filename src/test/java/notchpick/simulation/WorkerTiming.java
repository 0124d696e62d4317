package notchpick.simulation;

/**
 * The timing of the worker protocol, in seconds.
 *
 * @param heartbeatPeriodS the time between two heartbeats of a worker
 * @param leaseS the duration of a worker's lease
 * @param cancelTimeoutS the time within which the tasks of a cancelled job must have stopped
 */
public record WorkerTiming(double heartbeatPeriodS, double leaseS, double cancelTimeoutS) {
    public static final WorkerTiming DEFAULT = new WorkerTiming(3, 20, 40);

    private static final double MS_PER_S = 1000;

    long heartbeatPeriodMs() {
        return (long) (heartbeatPeriodS * MS_PER_S);
    }

    long leaseMs() {
        return (long) (leaseS * MS_PER_S);
    }

    long cancelTimeoutMs() {
        return (long) (cancelTimeoutS * MS_PER_S);
    }
}

package notchpick.coordination;

/**
 * Parameters that operators may set in addition to the platform's settings. All controllers must use the same values.
 *
 * @param commitmentDecayS the time constant with which commitments decay (the paper's tau)
 * @param commitmentSaveS how often commitments are saved
 * @param resourceLeaseMs how long resources are leased to the controller that places tasks
 * @param maxSkippedS how long a job may be skipped in allocation before a machine is reserved for it
 * @param leaderLeaseRatio the length of the leader lease, as a fraction of the worker lease
 */
public record Tuning(
        double commitmentDecayS,
        double commitmentSaveS,
        long resourceLeaseMs,
        double maxSkippedS,
        double leaderLeaseRatio) {
    public static final Tuning DEFAULT = new Tuning(120, 10, 400, 20, 0.15);
}

package notchpick.coordination;

/**
 * What the operators may set, beyond the platform's settings. All controllers must have the same values.
 *
 * @param commitmentDecayS the time constant with which commitments decay (the paper's tau)
 * @param commitmentSaveS how often commitments are saved
 * @param resourceLeaseMs how long resources are leased to the controller that places tasks
 * @param maxSkippedS how long a job may be skipped before it reserves a machine
 * @param leaderLeaseRatio the length of the leader lease, as a part of the worker lease
 */
public record Tuning(
        double commitmentDecayS,
        double commitmentSaveS,
        long resourceLeaseMs,
        double maxSkippedS,
        double leaderLeaseRatio) {
    public static final Tuning DEFAULT = new Tuning(120, 10, 400, 20, 0.15);
}

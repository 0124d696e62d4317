package notchpick.coordination;

/**
 * What the operators may set, beyond the platform's settings.
 *
 * @param tauS memory of commitments
 * @param saveS how often commitments are saved
 * @param roomLeaseMs how long room is leased to the controller that places
 * @param barringS how long a task may be skipped before it bars others from room
 * @param leaderLeaseRatio the leader's lease as a part of the workers' lease
 */
public record Tuning(double tauS, double saveS, long roomLeaseMs, double barringS, double leaderLeaseRatio) {
    public static final Tuning DEFAULT = new Tuning(120, 10, 400, 20, 0.15);
}

package notchpick.coordination.membership;

import notchpick.scheduling.Milliseconds;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpStatus;

/** The health of one link of this controller, judged by the traffic that flows over it anyway. Times are handed in. */
final class LinkHealth {
    /** The names of the wire, but not its enum: that one is built from a schema, which would slow the start down. */
    enum Condition {
        UNKNOWN,
        UP,
        REFUSED,
        TURNED_AWAY,
        SILENT
    }

    /** The weight of the newest latency in the moving average. */
    private static final double LATENCY_WEIGHT = 0.2;

    private static final long NEVER = -1;

    private final long ratePeriodMs;
    private Condition condition = Condition.UNKNOWN;
    private long lastActivityAtMs = NEVER;
    private double meanLatencyMs = -1;
    private long ratePeriodStartMs;
    private int activitiesInPeriod;
    private double ratePerS;

    /** @param ratePeriodMs the period over which the rate of activity is counted */
    LinkHealth(long ratePeriodMs) {
        this.ratePeriodMs = ratePeriodMs;
    }

    /** A request over this link has completed, with or without a response. */
    void recordRequest(Response response, long sentAtMs, long nowMs) {
        if (response.isConnectionRefused()) {
            condition = Condition.REFUSED;
        } else if (response.isUnanswered()) {
            condition = Condition.SILENT;
        } else {
            recordActivity(nowMs);
            condition = response.status() == HttpStatus.SERVICE_UNAVAILABLE ? Condition.TURNED_AWAY : Condition.UP;
            double latencyMs = nowMs - sentAtMs;
            meanLatencyMs =
                    meanLatencyMs < 0 ? latencyMs : meanLatencyMs + LATENCY_WEIGHT * (latencyMs - meanLatencyMs);
        }
    }

    /** A message has come in over this link. */
    void recordMessage(long nowMs) {
        recordActivity(nowMs);
        condition = Condition.UP;
    }

    private void recordActivity(long nowMs) {
        updateRate(nowMs);
        activitiesInPeriod++;
        lastActivityAtMs = nowMs;
    }

    private void updateRate(long nowMs) {
        long elapsedMs = nowMs - ratePeriodStartMs;
        if (elapsedMs >= ratePeriodMs) {
            // After a whole period without activity, nothing counted before it says what the rate is now.
            ratePerS = elapsedMs < 2 * ratePeriodMs ? activitiesInPeriod * Milliseconds.PER_SECOND / elapsedMs : 0;
            activitiesInPeriod = 0;
            ratePeriodStartMs = nowMs;
        }
    }

    /** The condition by the newest request or message; {@link Condition#UNKNOWN} does not mean that the link is down. */
    Condition condition() {
        return condition;
    }

    /** Whether the last activity is no older than this; false if there has been none. */
    boolean isActiveWithin(long withinMs, long nowMs) {
        return lastActivityAtMs >= 0 && nowMs - lastActivityAtMs <= withinMs;
    }

    /** The time since the last activity, in milliseconds; -1 if there has been none. */
    long ageMs(long nowMs) {
        return lastActivityAtMs < 0 ? NEVER : nowMs - lastActivityAtMs;
    }

    /** The mean time until a response came, in milliseconds; -1 if none has come. */
    long meanLatencyMs() {
        return Math.round(meanLatencyMs);
    }

    /** Activity per second over the last period. */
    double ratePerS(long nowMs) {
        updateRate(nowMs);
        return ratePerS;
    }
}

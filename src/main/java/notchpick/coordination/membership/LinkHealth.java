package notchpick.coordination.membership;

import notchpick.scheduling.Milliseconds;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpStatus;

/**
 * The health of one link of this controller, derived from regular traffic without extra probes. Callers pass the
 * current time.
 */
final class LinkHealth {
    /**
     * The constants of the generated {@link notchpick.protocol.peer.LinkCondition}. That enum is not used here because
     * parsing its schema would slow down the start.
     */
    enum Condition {
        UNKNOWN,
        UP,
        REFUSED,
        TURNED_AWAY,
        SILENT
    }

    /** The weight of the newest latency in the exponential moving average. */
    private static final double LATENCY_WEIGHT = 0.2;

    private static final long NEVER = -1;

    private final long ratePeriodMs;
    private Condition condition = Condition.UNKNOWN;
    private long lastActivityAtMs = NEVER;
    private double meanLatencyMs = -1;
    private long ratePeriodStartMs;
    private int activitiesInPeriod;
    private double ratePerS;

    /** @param ratePeriodMs the period over which the rate of activity is measured, in milliseconds */
    LinkHealth(long ratePeriodMs) {
        this.ratePeriodMs = ratePeriodMs;
    }

    /** Records a completed request over this link, with or without a response. */
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

    /** Records an incoming message over this link. */
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
            // After two periods, all counted activity was in the first one, and the last one had none.
            ratePerS = elapsedMs < 2 * ratePeriodMs ? activitiesInPeriod * Milliseconds.PER_SECOND / elapsedMs : 0;
            activitiesInPeriod = 0;
            ratePeriodStartMs = nowMs;
        }
    }

    /**
     * The condition after the newest request or message. {@link Condition#UNKNOWN} means that there was none, not that
     * the link is down.
     */
    Condition condition() {
        return condition;
    }

    /** Whether the last activity is at most this old; false if there has been none. */
    boolean isActiveWithin(long withinMs, long nowMs) {
        return lastActivityAtMs >= 0 && nowMs - lastActivityAtMs <= withinMs;
    }

    /** The time since the last activity, in milliseconds; -1 if there has been none. */
    long ageMs(long nowMs) {
        return lastActivityAtMs < 0 ? NEVER : nowMs - lastActivityAtMs;
    }

    /** The moving average of the response time, in milliseconds; -1 if there has been no response. */
    long meanLatencyMs() {
        return Math.round(meanLatencyMs);
    }

    /** The number of responses and messages per second over the last completed period. */
    double ratePerS(long nowMs) {
        updateRate(nowMs);
        return ratePerS;
    }
}

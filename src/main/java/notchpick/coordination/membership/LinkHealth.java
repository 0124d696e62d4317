package notchpick.coordination.membership;

import notchpick.transport.HttpCaller.Response;

/** One link of this controller, judged by the traffic that flows over it anyway. */
final class LinkHealth {
    /** The words of the wire, but not its classes: these are made from a schema, which a start can't wait for. */
    enum Condition {
        UNKNOWN,
        UP,
        REFUSED,
        TURNED_AWAY,
        SILENT
    }

    /** The newest delay weighs so much in the mean. */
    private static final double NEWEST = 0.2;

    private static final int TURNED_AWAY = 503;

    private final long periodMs;
    private Condition condition = Condition.UNKNOWN;
    private long at = -1;
    private double delayMs = -1;
    private long periodStart;
    private int signs;
    private double perS;

    /** @param periodMs what the rate of signs is counted over */
    LinkHealth(long periodMs) {
        this.periodMs = periodMs;
    }

    /** A call over this link came to an end. */
    void ended(Response answer, long sentAt, long now) {
        if (answer.isUnsent()) {
            condition = Condition.REFUSED;
        } else if (answer.isNone()) {
            condition = Condition.SILENT;
        } else {
            sign(now);
            condition = answer.status() == TURNED_AWAY ? Condition.TURNED_AWAY : Condition.UP;
            double delay = now - sentAt;
            delayMs = delayMs < 0 ? delay : delayMs + NEWEST * (delay - delayMs);
        }
    }

    /** Something came in over this link. */
    void heard(long now) {
        sign(now);
        condition = Condition.UP;
    }

    private void sign(long now) {
        count(now);
        signs++;
        at = now;
    }

    private void count(long now) {
        long span = now - periodStart;
        if (span >= periodMs) {
            // A period without any sign leaves nothing of what was counted before it.
            perS = span < 2 * periodMs ? signs * 1000.0 / span : 0;
            signs = 0;
            periodStart = now;
        }
    }

    /** That nothing is known of a link does not say that it is down. */
    Condition condition() {
        return condition;
    }

    /** Whether the last sign came within this time; false if there never was one. */
    boolean isFresh(long now, long withinMs) {
        return at >= 0 && now - at <= withinMs;
    }

    /** Since the last sign; -1: there never was one. */
    long ageMs(long now) {
        return at < 0 ? -1 : now - at;
    }

    /** -1: not known. */
    long delayMs() {
        return Math.round(delayMs);
    }

    /** How many calls a second went over the link lately. */
    double perS(long now) {
        count(now);
        return perS;
    }
}

package notchpick.simulation;

import java.util.function.LongSupplier;

/** A token bucket that holds as many tokens as are added in one second. */
final class TokenBucket {
    private static final double MS_PER_S = 1000;

    private final LongSupplier clock;
    private double ratePerS;
    private double tokens;
    private long refilledAtMs;

    TokenBucket(LongSupplier clock, double ratePerS) {
        this.clock = clock;
        this.ratePerS = ratePerS;
        this.tokens = ratePerS;
        this.refilledAtMs = clock.getAsLong();
    }

    void setRate(double newRatePerS) {
        ratePerS = newRatePerS;
    }

    /** Takes {@code count} tokens; takes none and returns false if there are too few. */
    boolean tryTake(int count) {
        long nowMs = clock.getAsLong();
        tokens = Math.min(ratePerS, tokens + (nowMs - refilledAtMs) * ratePerS / MS_PER_S);
        refilledAtMs = nowMs;
        if (tokens < count) {
            return false;
        }
        tokens -= count;
        return true;
    }
}

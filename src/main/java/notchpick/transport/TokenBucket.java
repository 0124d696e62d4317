package notchpick.transport;

/** A token bucket: limits a rate, and allows bursts up to its capacity. It is not safe for use by several threads. */
public final class TokenBucket {
    private static final double MS_PER_S = 1000;

    private final EventLoop loop;
    private final double tokensPerMs;
    private final double capacity;
    private double tokens;
    private long refilledAt;

    /** @param initial how many tokens there are at first */
    public TokenBucket(EventLoop loop, double tokensPerS, double capacity, double initial) {
        this.loop = loop;
        this.tokensPerMs = tokensPerS / MS_PER_S;
        this.capacity = capacity;
        this.tokens = initial;
        this.refilledAt = loop.nowMs();
    }

    /** How many tokens there are now; negative while more have been taken than there were. */
    public double available() {
        long now = loop.nowMs();
        tokens = Math.min(capacity, tokens + (now - refilledAt) * tokensPerMs);
        refilledAt = now;
        return tokens;
    }

    /** Takes tokens, be there enough or not. */
    public void take(double count) {
        tokens -= count;
    }

    /** In how many milliseconds there will be this many tokens, if none is taken. */
    public long msUntil(double count) {
        return (long) Math.ceil((count - available()) / tokensPerMs);
    }
}

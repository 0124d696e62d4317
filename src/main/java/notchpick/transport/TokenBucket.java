package notchpick.transport;

/** A token bucket: limits a rate, and allows bursts up to its capacity. Not thread-safe. */
public final class TokenBucket {
    private static final double MS_PER_S = 1000;

    private final EventLoop loop;
    private final double tokensPerMs;
    private final double capacity;
    private double tokens;
    private long refilledAtMs;

    /** @param initialTokens the number of tokens at the start */
    public TokenBucket(EventLoop loop, double tokensPerS, double capacity, double initialTokens) {
        this.loop = loop;
        this.tokensPerMs = tokensPerS / MS_PER_S;
        this.capacity = capacity;
        this.tokens = initialTokens;
        this.refilledAtMs = loop.nowMs();
    }

    /** The number of tokens now; negative if more have been taken than were available. */
    public double available() {
        long nowMs = loop.nowMs();
        tokens = Math.min(capacity, tokens + (nowMs - refilledAtMs) * tokensPerMs);
        refilledAtMs = nowMs;
        return tokens;
    }

    /** Takes tokens, even if there are not enough. */
    public void take(double count) {
        tokens -= count;
    }

    /** The number of milliseconds until this many tokens are available, if none are taken until then. */
    public long msUntil(double count) {
        return (long) Math.ceil((count - available()) / tokensPerMs);
    }
}

package notchpick.coordination.membership;

import java.util.HashMap;
import java.util.Map;

/** Limits probes to one per target and interval, because a probe of a broken path costs the worker a heartbeat. */
final class ProbeLimiter {
    private final long intervalMs;
    private final Map<String, Long> lastProbeAtMs = new HashMap<>();

    ProbeLimiter(long intervalMs) {
        this.intervalMs = intervalMs;
    }

    /** Returns whether the target may be probed now, and if so records the probe. */
    boolean tryAcquire(String target, long nowMs) {
        long lastMs = lastProbeAtMs.getOrDefault(target, 0L);
        if (lastMs != 0 && nowMs - lastMs <= intervalMs) {
            return false;
        }
        lastProbeAtMs.put(target, nowMs);
        return true;
    }
}

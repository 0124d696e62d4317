package notchpick.coordination.membership;

import java.util.HashMap;
import java.util.Map;

/** Admits one probe per target and interval: a worker that is sent to a path that fails loses a heartbeat. */
final class ProbeLimiter {
    private final long intervalMs;
    private final Map<String, Long> lastProbeAtMs = new HashMap<>();

    ProbeLimiter(long intervalMs) {
        this.intervalMs = intervalMs;
    }

    /** Whether a probe of the target may be made now; if so it counts as made. */
    boolean tryAcquire(String target, long nowMs) {
        long lastMs = lastProbeAtMs.getOrDefault(target, 0L);
        if (lastMs != 0 && nowMs - lastMs <= intervalMs) {
            return false;
        }
        lastProbeAtMs.put(target, nowMs);
        return true;
    }
}

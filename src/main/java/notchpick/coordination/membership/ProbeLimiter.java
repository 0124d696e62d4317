package notchpick.coordination.membership;

import java.util.HashMap;
import java.util.Map;

/** Admits one probe per target and interval: a worker that is sent to a path that fails loses a heartbeat. */
final class ProbeLimiter {
    private final long intervalMs;
    private final Map<String, Long> lastProbeAt = new HashMap<>();

    ProbeLimiter(long intervalMs) {
        this.intervalMs = intervalMs;
    }

    /** Whether a probe of the target may be made now; if so it counts as made. */
    boolean tryAcquire(String target, long now) {
        long last = lastProbeAt.getOrDefault(target, 0L);
        if (last != 0 && now - last <= intervalMs) {
            return false;
        }
        lastProbeAt.put(target, now);
        return true;
    }
}

package notchpick.coordination.leader;

import notchpick.coordination.leader.term.TermContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects that this process stood still. What others sent meanwhile is yet to be read then: their silence from before
 * says nothing.
 */
final class ProcessPauseDetector {
    private static final Logger LOG = LoggerFactory.getLogger(ProcessPauseDetector.class);
    /** A tick that comes later than so many of its periods shows a pause. */
    private static final int PAUSE_THRESHOLD_TICKS = 2;

    private final TermContext context;
    private final long tickMs;
    private long lastTickAtMs;
    private long runningSinceMs;

    /** @param tickMs the period in which {@link #recordTick} is called */
    ProcessPauseDetector(TermContext context, long tickMs) {
        this.context = context;
        this.tickMs = tickMs;
        this.runningSinceMs = context.nowMs();
    }

    /** The period begins anew. */
    void recordTick() {
        lastTickAtMs = context.nowMs();
    }

    /** Looks whether the process has stood still since the last tick. */
    void detectPause() {
        long nowMs = context.nowMs();
        long sinceTickMs = nowMs - lastTickAtMs;
        if (sinceTickMs > tickMs * PAUSE_THRESHOLD_TICKS) {
            LOG.warn("process pause detected: term={} pausedMs={}", context.term(), sinceTickMs);
            runningSinceMs = nowMs;
        }
    }

    /** The end of the last pause; silence of others from before does not count. */
    long runningSinceMs() {
        return runningSinceMs;
    }
}

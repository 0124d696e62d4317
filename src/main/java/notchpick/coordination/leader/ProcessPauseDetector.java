package notchpick.coordination.leader;

import notchpick.coordination.leader.term.TermContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects pauses of this process. Messages that arrived during a pause are still unread when it ends, so messages
 * missing from before its end do not show that their senders are gone.
 */
final class ProcessPauseDetector {
    private static final Logger LOG = LoggerFactory.getLogger(ProcessPauseDetector.class);
    /** More than this many tick periods between two ticks count as a pause. */
    private static final int PAUSE_THRESHOLD_TICKS = 2;

    private final TermContext context;
    private final long tickMs;
    private long lastTickAtMs;
    private long runningSinceMs;

    /** @param tickMs the period at which {@link #recordTick} is called */
    ProcessPauseDetector(TermContext context, long tickMs) {
        this.context = context;
        this.tickMs = tickMs;
        this.runningSinceMs = context.nowMs();
    }

    /** Records that a tick has run. */
    void recordTick() {
        lastTickAtMs = context.nowMs();
    }

    /** Checks whether the process has paused since the last tick. */
    void detectPause() {
        long nowMs = context.nowMs();
        long sinceTickMs = nowMs - lastTickAtMs;
        if (sinceTickMs > tickMs * PAUSE_THRESHOLD_TICKS) {
            LOG.warn("process pause detected: term={} pausedMs={}", context.term(), sinceTickMs);
            runningSinceMs = nowMs;
        }
    }

    /** The end of the last pause, or the start of the term. Messages missing from before it do not show a fault. */
    long runningSinceMs() {
        return runningSinceMs;
    }
}

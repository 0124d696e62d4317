package notchpick.coordination.leader;

import notchpick.coordination.leader.allocation.ResourceAllocator;
import notchpick.coordination.leader.heartbeat.HeartbeatHandler;
import notchpick.coordination.leader.term.LeaderAuthority;
import notchpick.coordination.leader.term.TermContext;

/** Schedules allocation rounds: soon after something has changed, and so that they take a bounded part of the time. */
final class AllocationScheduler implements HeartbeatHandler.AllocationRounds {
    /** What changes within this part of a heartbeat period is handled in one round. */
    private static final double DELAY_RATIO = 0.01;
    /** Rounds take no more than one part in so many of the time, however long one takes. */
    private static final int DELAY_PER_ROUND_TIME = 10;

    private final TermContext context;
    private final LeaderAuthority authority;
    private final ResourceAllocator allocator;
    private final Runnable roundEnded;
    private final long minDelayMs;
    private boolean scheduled;
    private long startedRounds;
    private long lastRoundMs;

    /** @param roundEnded is run after each round */
    AllocationScheduler(
            TermContext context, LeaderAuthority authority, ResourceAllocator allocator, Runnable roundEnded) {
        this.context = context;
        this.authority = authority;
        this.allocator = allocator;
        this.roundEnded = roundEnded;
        this.minDelayMs = (long) (context.heartbeatPeriodMs() * DELAY_RATIO);
    }

    @Override
    public void request() {
        if (!scheduled && authority.hasRecovered()) {
            scheduled = true;
            context.timer().schedule(Math.max(minDelayMs, DELAY_PER_ROUND_TIME * lastRoundMs), this::run);
        }
    }

    @Override
    public long startedRounds() {
        return startedRounds;
    }

    private void run() {
        scheduled = false;
        startedRounds++;
        if (authority.hasLease()) {
            long startedAtMs = context.nowMs();
            allocator.runRound();
            // A round in which this process stood still tells nothing of how long one takes.
            lastRoundMs = Math.min(context.nowMs() - startedAtMs, minDelayMs);
        }
        roundEnded.run();
    }
}

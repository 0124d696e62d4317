package notchpick.coordination.leader;

import notchpick.coordination.leader.allocation.ResourceAllocator;
import notchpick.coordination.leader.heartbeat.HeartbeatHandler;
import notchpick.coordination.leader.term.LeaderAuthority;
import notchpick.coordination.leader.term.TermContext;

/** Schedules allocation rounds shortly after a change, and limits the fraction of time that they take. */
final class AllocationScheduler implements HeartbeatHandler.AllocationRounds {
    /**
     * The shortest delay of a round, as a fraction of the heartbeat period. Changes during the delay share one round.
     */
    private static final double DELAY_RATIO = 0.01;
    /** A round is delayed by this many times the duration of the last one, so that rounds leave time for other work. */
    private static final int DELAY_PER_ROUND_TIME = 10;

    private final TermContext context;
    private final LeaderAuthority authority;
    private final ResourceAllocator allocator;
    private final Runnable roundEnded;
    private final long minDelayMs;
    private boolean scheduled;
    private long startedRounds;
    private long lastRoundMs;

    /** @param roundEnded is run after each round, even if the round was skipped because the leader lease is not held */
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
            // Capped, because a pause of the process during the round would make the measured duration too long.
            lastRoundMs = Math.min(context.nowMs() - startedAtMs, minDelayMs);
        }
        roundEnded.run();
    }
}

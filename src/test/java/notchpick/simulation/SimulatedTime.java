package notchpick.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import notchpick.transport.EventLoop;

/** Simulated time: runs scheduled work in order of its due times, without waiting. Single-threaded. */
public final class SimulatedTime {
    /** Scheduled work; the sequence number orders work that is due at the same time. */
    private record ScheduledWork(long dueMs, long sequence, Runnable work) {}

    private static final long STEADY_CLOCK_START_MS = 1_000_000;
    private static final long WALL_CLOCK_START_MS = 1_700_000_000_000L;

    private final PriorityQueue<ScheduledWork> queue = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledWork::dueMs).thenComparingLong(ScheduledWork::sequence));
    private final RealTime realTime;
    private long nowMs;
    private long sequence;

    /** Lets a simulation run at the pace of a real clock, together with work of other threads. */
    public interface RealTime {
        /** The milliseconds since the start of the simulation. */
        long elapsedMs();

        /** Waits briefly for work of other threads and returns it; null if there is none. */
        Runnable awaitWork() throws InterruptedException;
    }

    /** Creates a simulation that never waits. */
    public SimulatedTime() {
        this(null);
    }

    /** Creates a simulation that runs at the pace of a real clock. */
    public SimulatedTime(RealTime realTime) {
        this.realTime = realTime;
    }

    /** Milliseconds since the start of the simulation. */
    public long nowMs() {
        return nowMs;
    }

    /** Schedules work; a negative delay counts as 0. */
    public void schedule(long delayMs, Runnable work) {
        queue.add(new ScheduledWork(nowMs + Math.max(0, delayMs), sequence++, work));
    }

    /** Advances the time and runs all work that falls due. */
    public void runUntil(long endMs) {
        if (realTime == null) {
            runDue(endMs);
            return;
        }
        try {
            while (nowMs < endMs) {
                runDue(Math.max(nowMs, Math.min(endMs, realTime.elapsedMs())));
                Runnable work = realTime.awaitWork();
                if (work != null) {
                    work.run();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted at " + nowMs, e);
        }
    }

    private void runDue(long endMs) {
        while (!queue.isEmpty() && queue.peek().dueMs() <= endMs) {
            ScheduledWork next = queue.poll();
            nowMs = next.dueMs();
            next.work().run();
        }
        nowMs = endMs;
    }

    /** Creates the event loop of a process that is never paused. */
    public EventLoop newEventLoop(double fastPercent, long wallOffsetMs, BooleanSupplier isAlive) {
        return newEventLoop(fastPercent, wallOffsetMs, isAlive, () -> 0);
    }

    /**
     * Creates the event loop of one process, which drops its work once the process has ended.
     *
     * @param fastPercent by how many percent its steady clock runs fast; negative if it runs slow
     * @param wallOffsetMs the offset of its wall clock
     * @param frozenUntilMs until when the process is paused, in simulated time; its clocks keep running
     */
    public EventLoop newEventLoop(
            double fastPercent, long wallOffsetMs, BooleanSupplier isAlive, LongSupplier frozenUntilMs) {
        double rate = 1 + fastPercent / 100;
        return new EventLoop() {
            @Override
            public long nowMs() {
                return STEADY_CLOCK_START_MS + (long) (nowMs * rate);
            }

            @Override
            public long wallTimeMs() {
                return WALL_CLOCK_START_MS + nowMs + wallOffsetMs;
            }

            @Override
            public void execute(Runnable work) {
                schedule(0, work);
            }

            @Override
            public void schedule(long delayMs, Runnable work) {
                runAfter((long) Math.ceil(delayMs / rate), work);
            }

            private void runAfter(long delayMs, Runnable work) {
                SimulatedTime.this.schedule(delayMs, () -> {
                    long frozenForMs = frozenUntilMs.getAsLong() - nowMs;
                    if (frozenForMs > 0) {
                        runAfter(frozenForMs, work);
                    } else if (isAlive.getAsBoolean()) {
                        work.run();
                    }
                });
            }
        };
    }
}

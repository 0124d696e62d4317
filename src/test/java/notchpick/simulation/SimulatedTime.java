package notchpick.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import notchpick.transport.EventLoop;

/** Simulated time: what is due happens in order, at once. */
public final class SimulatedTime {
    private record Due(long at, long order, Runnable work) {}

    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
    private long now;
    private long order;

    public long now() {
        return now;
    }

    public void after(long delayMs, Runnable work) {
        due.add(new Due(now + Math.max(0, delayMs), order++, work));
    }

    /** Runs all that is due until then. */
    public void runUntil(long end) {
        while (!due.isEmpty() && due.peek().at() <= end) {
            Due next = due.poll();
            now = next.at();
            next.work().run();
        }
        now = end;
    }

    /** The loop of a process that never stands still. */
    public EventLoop loop(double fastPercent, long offsetMs, BooleanSupplier alive) {
        return loop(fastPercent, offsetMs, alive, () -> 0);
    }

    /**
     * The loop of one process.
     *
     * @param fastPercent how much its steady clock runs fast
     * @param offsetMs how far its time of day is off
     * @param frozenUntil until when the process stands still while its clocks run on
     */
    public EventLoop loop(double fastPercent, long offsetMs, BooleanSupplier alive, LongSupplier frozenUntil) {
        double rate = 1 + fastPercent / 100;
        return new EventLoop() {
            @Override
            public long nowMs() {
                return 1_000_000 + (long) (now * rate);
            }

            @Override
            public long wallTimeMs() {
                return 1_700_000_000_000L + now + offsetMs;
            }

            @Override
            public void execute(Runnable work) {
                after(0, work);
            }

            @Override
            public void after(long delayMs, Runnable work) {
                due((long) Math.ceil(delayMs / rate), work);
            }

            private void due(long delayMs, Runnable work) {
                SimulatedTime.this.after(delayMs, () -> {
                    long rest = frozenUntil.getAsLong() - now;
                    if (rest > 0) {
                        due(rest, work);
                    } else if (alive.getAsBoolean()) {
                        work.run();
                    }
                });
            }
        };
    }
}

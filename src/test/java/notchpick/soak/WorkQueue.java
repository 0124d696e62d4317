package notchpick.soak;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import notchpick.simulation.SimulatedTime;

/** The real clock of a soak run, and the work that HTTP threads pass to the thread of its simulation. */
public final class WorkQueue implements SimulatedTime.RealTime {
    private static final long MAX_WAIT_MS = 1;

    private final long startedAtNanos = System.nanoTime();
    private final LinkedBlockingQueue<Runnable> work = new LinkedBlockingQueue<>();

    /** Passes work to the simulation; may be called from any thread. */
    void add(Runnable task) {
        work.add(task);
    }

    @Override
    public long elapsedMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos);
    }

    @Override
    public Runnable awaitWork() throws InterruptedException {
        return work.poll(MAX_WAIT_MS, TimeUnit.MILLISECONDS);
    }
}

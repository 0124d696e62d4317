package notchpick.transport;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The event loop of a real process. It owns the queue of waiting work and the timer thread "actors", which lives as
 * long as the process. A thread that adds work to the empty queue runs all queued work until the queue is empty again.
 * So work runs serially, as on a single thread, but a request is not handed over from the thread that read it to
 * another thread and back, which would cost more than handling most requests.
 */
public final class SerialEventLoop implements EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(SerialEventLoop.class);
    private static final long NANOS_PER_MS = 1_000_000;

    private final Queue<Runnable> queue = new ConcurrentLinkedQueue<>();
    /** The length of the queue, including the piece of work that is running. */
    private final AtomicInteger pending = new AtomicInteger();

    private final ScheduledThreadPoolExecutor timers;

    public SerialEventLoop() {
        timers = new ScheduledThreadPoolExecutor(1, work -> new Thread(work, "actors"));
        timers.setRemoveOnCancelPolicy(true);
    }

    @Override
    public long nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    @Override
    public long wallTimeMs() {
        return System.currentTimeMillis();
    }

    @Override
    public void execute(Runnable work) {
        queue.add(work);
        if (pending.getAndIncrement() == 0) {
            do {
                run(queue.poll());
            } while (pending.decrementAndGet() > 0);
        }
    }

    @Override
    public void schedule(long delayMs, Runnable work) {
        if (delayMs <= 0) {
            execute(work);
        } else {
            var unused = timers.schedule(() -> execute(work), delayMs, TimeUnit.MILLISECONDS);
        }
    }

    private static void run(Runnable work) {
        try {
            work.run();
        } catch (Throwable e) {
            // Catches everything, because the rest of the queue must still run.
            LOG.error("uncaught error: reason={}", e.toString(), e);
        }
    }
}

package notchpick.transport;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The event loop of a real process. It owns the queue of waiting work, and the thread "actors" of its timers, which lives
 * as long as the process. The queue is emptied by the thread that adds to it while it is empty: work runs serially, as on
 * one thread, but a request is not handed from the thread that has read it to another and back, which would cost more than
 * handling most requests.
 */
public final class SerialEventLoop implements EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(SerialEventLoop.class);
    private static final long NANOS_PER_MS = 1_000_000;

    private final Queue<Runnable> queue = new ConcurrentLinkedQueue<>();
    /** The length of the queue, the piece of work that is running included. */
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
            // Whatever is thrown, the rest of the queue must run.
            LOG.error("uncaught error: reason={}", e.toString(), e);
        }
    }
}

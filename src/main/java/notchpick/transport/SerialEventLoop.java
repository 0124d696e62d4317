package notchpick.transport;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.slf4j.LoggerFactory;

/**
 * The event loop of a real process: a mailbox that is emptied by whichever thread brings the first
 * message. Work is done one after the other, as by one thread, but a request need not be handed from
 * the thread that read it to another and back, which would cost more than most requests themselves.
 */
public final class SerialEventLoop implements EventLoop {
    private final Queue<Runnable> mailbox = new ConcurrentLinkedQueue<>();
    private final AtomicInteger waiting = new AtomicInteger();
    private final ScheduledThreadPoolExecutor timers;

    public SerialEventLoop() {
        timers = new ScheduledThreadPoolExecutor(1, work -> new Thread(work, "actors"));
        timers.setRemoveOnCancelPolicy(true);
    }

    @Override
    public long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public long wallTimeMs() {
        return System.currentTimeMillis();
    }

    @Override
    public void execute(Runnable work) {
        mailbox.add(work);
        if (waiting.getAndIncrement() == 0) {
            do {
                run(mailbox.poll());
            } while (waiting.decrementAndGet() > 0);
        }
    }

    @Override
    public void after(long delayMs, Runnable work) {
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
            LoggerFactory.getLogger(SerialEventLoop.class).error("uncaught: {}", e.toString(), e);
        }
    }
}

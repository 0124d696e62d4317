package notchpick.transport;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.LoggerFactory;

/** The event loop of a real process: one thread. */
public final class SingleThreadLoop implements EventLoop {
    private final ScheduledThreadPoolExecutor executor;

    public SingleThreadLoop() {
        executor = new ScheduledThreadPoolExecutor(1, work -> new Thread(work, "actors"));
        executor.setRemoveOnCancelPolicy(true);
    }

    @Override
    public long now() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public long wallTime() {
        return System.currentTimeMillis();
    }

    @Override
    public void execute(Runnable work) {
        executor.execute(() -> run(work));
    }

    @Override
    public void after(long delayMs, Runnable work) {
        executor.schedule(() -> run(work), Math.max(delayMs, 0), TimeUnit.MILLISECONDS);
    }

    private static void run(Runnable work) {
        try {
            work.run();
        } catch (Throwable e) {
            LoggerFactory.getLogger(SingleThreadLoop.class).error("uncaught: {}", e.toString(), e);
        }
    }
}

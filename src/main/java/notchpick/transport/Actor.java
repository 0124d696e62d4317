package notchpick.transport;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owns state that nobody else touches. Others speak to it by messages; answers it awaits come back
 * to it as messages too. All actors of a process share one event loop, which a fraction of one core
 * can't use more of anyway.
 */
public abstract class Actor<M> {
    protected final Logger log = LoggerFactory.getLogger(getClass());
    protected final EventLoop loop;
    private boolean stopped;

    protected Actor(EventLoop loop) {
        this.loop = loop;
    }

    /** Delivers a message; returns at once. */
    public final void tell(M message) {
        loop.execute(() -> guarded(() -> receive(message)));
    }

    protected abstract void receive(M message);

    /** Ends the actor: what is still on its way to it is dropped. */
    protected final void stop() {
        stopped = true;
    }

    protected final boolean isStopped() {
        return stopped;
    }

    /** A callback that comes back into this actor. */
    protected final <T> Consumer<T> here(Consumer<T> then) {
        return value -> loop.execute(() -> guarded(() -> then.accept(value)));
    }

    protected final void after(long delayMs, Runnable work) {
        loop.after(delayMs, () -> guarded(work));
    }

    /** Runs the work again and again, in this actor's turn. */
    protected final void every(long periodMs, Runnable work) {
        after(periodMs, () -> {
            try {
                work.run();
            } finally {
                every(periodMs, work);
            }
        });
    }

    private void guarded(Runnable work) {
        if (stopped) {
            return;
        }
        try {
            work.run();
        } catch (RuntimeException e) {
            // One bad message must end neither the actor nor the process.
            log.error("dropped a message: {}", e.toString(), e);
        }
    }
}

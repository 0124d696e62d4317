package notchpick.transport;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Base class for objects whose state is accessed only on the event loop: when a message is handled, a callback runs or
 * a timer expires. All actors of a process share one event loop, which queues the messages and runs one piece of work
 * at a time; an actor has no thread of its own.
 *
 * @param <M> the type of the messages that it receives
 */
public abstract class Actor<M> {
    protected final Logger log = LoggerFactory.getLogger(getClass());
    protected final EventLoop loop;
    private boolean stopped;

    protected Actor(EventLoop loop) {
        this.loop = loop;
    }

    /** Sends the actor a message; may be called from any thread. */
    public final void tell(M message) {
        loop.execute(() -> runGuarded(() -> receive(message)));
    }

    /** Handles a message, on the event loop. */
    protected abstract void receive(M message);

    /** Stops the actor: pending messages, callbacks and timers are dropped. */
    protected final void stop() {
        stopped = true;
    }

    protected final boolean isStopped() {
        return stopped;
    }

    /** Wraps a callback so that any thread may call it: it runs on the event loop, unless the actor has stopped. */
    protected final <T> Consumer<T> onLoop(Consumer<T> callback) {
        return value -> loop.execute(() -> runGuarded(() -> callback.accept(value)));
    }

    /** Runs work on the event loop after a delay, unless the actor has stopped by then. */
    protected final void schedule(long delayMs, Runnable work) {
        loop.schedule(delayMs, () -> runGuarded(work));
    }

    /** Runs work on the event loop repeatedly, with this delay before each run, until the actor stops. */
    protected final void scheduleRepeatedly(long delayMs, Runnable work) {
        schedule(delayMs, () -> {
            try {
                work.run();
            } finally {
                scheduleRepeatedly(delayMs, work);
            }
        });
    }

    private void runGuarded(Runnable work) {
        if (stopped) {
            return;
        }
        try {
            work.run();
        } catch (RuntimeException e) {
            // A failure to handle one message must stop neither the actor nor the process.
            log.error("message dropped: reason={}", e.toString(), e);
        }
    }
}

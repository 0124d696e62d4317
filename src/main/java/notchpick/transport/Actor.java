package notchpick.transport;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owns state that nothing else accesses, and is sent messages. All actors of a process share one event loop, which runs
 * one piece of work at a time; it owns the queue of messages, and an actor has no thread of its own.
 *
 * @param <M> the messages that it receives
 */
public abstract class Actor<M> {
    protected final Logger log = LoggerFactory.getLogger(getClass());
    protected final EventLoop loop;
    private boolean stopped;

    protected Actor(EventLoop loop) {
        this.loop = loop;
    }

    /** Sends it a message, from any thread. */
    public final void tell(M message) {
        loop.execute(() -> runGuarded(() -> receive(message)));
    }

    /** Handles a message, on the event loop. */
    protected abstract void receive(M message);

    /** Stops the actor: messages, callbacks and timers that are still due are dropped. */
    protected final void stop() {
        stopped = true;
    }

    protected final boolean isStopped() {
        return stopped;
    }

    /** A callback, for any thread to call, that runs on the event loop, and no more once the actor has stopped. */
    protected final <T> Consumer<T> onLoop(Consumer<T> callback) {
        return value -> loop.execute(() -> runGuarded(() -> callback.accept(value)));
    }

    /** Runs work on the event loop after a delay, unless the actor has stopped by then. */
    protected final void schedule(long delayMs, Runnable work) {
        loop.schedule(delayMs, () -> runGuarded(work));
    }

    /** Runs work on the event loop with this delay before each run, until the actor stops. */
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
            // A message that can't be handled must end neither the actor nor the process.
            log.error("message dropped: reason={}", e.toString(), e);
        }
    }
}

package notchpick.coordination.leading;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.ObjLongConsumer;
import notchpick.bookkeeping.FencedWriter;
import notchpick.bookkeeping.Records;
import notchpick.protocol.Json;
import notchpick.protocol.StateApi;
import notchpick.protocol.StateApi.Entry;
import notchpick.protocol.StateApi.Listing;
import notchpick.protocol.StateApi.Missing;
import notchpick.protocol.StateApi.Ok;
import notchpick.transport.EventLoop;

/**
 * Reads what a former leader left, one kind of records after the other. Jobs come first: what the
 * others then tell of is a job that is open, or one that is over for good.
 */
final class LeaderRecovery {
    private static final long RETRY_MS = 200;

    private final EventLoop loop;
    private final StateApi state;
    private final FencedWriter writer;
    private final BiConsumer<Long, Runnable> timer;
    private final OpenJobs jobs;
    private final TaskLaunchLog starts;
    private final Fleet fleet;
    private final ResourceAllocator allocator;
    private final LongConsumer done;

    /** @param done hears of the revision from which users' changes must be watched */
    LeaderRecovery(
            EventLoop loop,
            StateApi state,
            FencedWriter writer,
            BiConsumer<Long, Runnable> timer,
            OpenJobs jobs,
            TaskLaunchLog starts,
            Fleet fleet,
            ResourceAllocator allocator,
            LongConsumer done) {
        this.loop = loop;
        this.state = state;
        this.writer = writer;
        this.timer = timer;
        this.jobs = jobs;
        this.starts = starts;
        this.fleet = fleet;
        this.allocator = allocator;
        this.done = done;
    }

    /** Starts to read; the caller hears when all is read. */
    void begin() {
        list(Records.OPEN, (open, sentAt) -> {
            jobs.load(open, sentAt);
            list(Records.DONE_TASKS, (marks, marksSentAt) -> {
                jobs.loadDone(marks);
                list(Records.STARTS, (started, startsSentAt) -> {
                    starts.load(started);
                    get(Records.RELEASED, released -> {
                        fleet.load(Records.released(released));
                        get(Records.COMMITMENTS, commitments -> {
                            allocator.commitments().putAll(Records.commitments(commitments));
                            done.accept(open.revision());
                        });
                    });
                });
            });
        });
    }

    /** @param then is given what there is, and when it was asked for */
    private void list(String prefix, ObjLongConsumer<Listing> then) {
        long sentAt = loop.now();
        state.listAll(
                prefix,
                result -> timer.accept(0L, () -> {
                    if (result instanceof Ok<Listing> ok) {
                        then.accept(ok.value(), sentAt);
                    } else {
                        timer.accept(RETRY_MS, () -> list(prefix, then));
                    }
                }));
    }

    /** Gives an empty object where there is no such key. */
    private void get(String key, Consumer<JsonNode> then) {
        state.get(
                key,
                result -> timer.accept(0L, () -> {
                    if (result instanceof Ok<Entry> ok) {
                        writer.known(key, ok.value().version());
                        then.accept(ok.value().value());
                    } else if (result instanceof Missing<Entry>) {
                        then.accept(Json.object());
                    } else {
                        timer.accept(RETRY_MS, () -> get(key, then));
                    }
                }));
    }
}

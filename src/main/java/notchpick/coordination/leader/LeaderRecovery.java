package notchpick.coordination.leader;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.ObjLongConsumer;
import notchpick.coordination.leader.allocation.ResourceAllocator;
import notchpick.coordination.leader.allocation.TaskLaunchLog;
import notchpick.coordination.leader.jobs.JobTracker;
import notchpick.coordination.leader.scaling.Autoscaler;
import notchpick.coordination.leader.term.TermContext;
import notchpick.protocol.Json;
import notchpick.protocol.StateStoreClient;
import notchpick.protocol.StateStoreClient.Entry;
import notchpick.protocol.StateStoreClient.Listing;
import notchpick.protocol.StateStoreResult.Missing;
import notchpick.protocol.StateStoreResult.Ok;
import notchpick.storage.CommitmentsCodec;
import notchpick.storage.FencedWriter;
import notchpick.storage.ReleasedMachinesCodec;
import notchpick.storage.StateKeys;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the state that a former leader left, one kind of record after another. Open jobs are read first, so that each
 * job that a later record refers to is either open or has ended for good. Then takes up what the former leader had not
 * finished and that no event would trigger again.
 */
final class LeaderRecovery {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderRecovery.class);
    private static final long RETRY_MS = 200;

    private final TermContext context;
    private final StateStoreClient stateStore;
    private final FencedWriter writer;
    private final JobTracker jobs;
    private final TaskLaunchLog launches;
    private final Autoscaler autoscaler;
    private final ResourceAllocator allocator;

    LeaderRecovery(
            TermContext context,
            StateStoreClient stateStore,
            FencedWriter writer,
            JobTracker jobs,
            TaskLaunchLog launches,
            Autoscaler autoscaler,
            ResourceAllocator allocator) {
        this.context = context;
        this.stateStore = stateStore;
        this.writer = writer;
        this.jobs = jobs;
        this.launches = launches;
        this.autoscaler = autoscaler;
        this.allocator = allocator;
    }

    /** @param recovered is called after everything is read, with the revision from which open jobs must be watched */
    void start(LongConsumer recovered) {
        list(StateKeys.OPEN_JOBS, (open, sentAtMs) -> {
            jobs.loadOpenJobs(open, sentAtMs);
            loadCompletions(() -> recovered.accept(open.revision()));
        });
    }

    private void loadCompletions(Runnable then) {
        list(StateKeys.COMPLETIONS, (completions, sentAtMs) -> {
            jobs.loadCompletions(completions);
            loadLaunches(then);
        });
    }

    private void loadLaunches(Runnable then) {
        list(StateKeys.LAUNCHES, (recorded, sentAtMs) -> {
            launches.load(recorded);
            loadReleased(then);
        });
    }

    private void loadReleased(Runnable then) {
        get(StateKeys.RELEASED_MACHINES, released -> {
            autoscaler.loadReleased(ReleasedMachinesCodec.decode(released));
            loadCommitments(then);
        });
    }

    private void loadCommitments(Runnable then) {
        get(StateKeys.COMMITMENTS, commitments -> {
            allocator.loadCommitments(CommitmentsCodec.decode(commitments));
            jobs.endCompletedJobs();
            then.run();
        });
    }

    /** @param then is called with the entries and the time at which they were requested; failed reads are retried */
    private void list(String prefix, ObjLongConsumer<Listing> then) {
        long sentAtMs = context.nowMs();
        stateStore.listAll(
                prefix,
                result -> context.timer().schedule(0, () -> {
                    if (result instanceof Ok<Listing> ok) {
                        LOG.info(
                                "records read: prefix={} entries={} revision={} readMs={} term={}",
                                prefix,
                                ok.value().entries().size(),
                                ok.value().revision(),
                                context.nowMs() - sentAtMs,
                                context.term());
                        then.accept(ok.value(), sentAtMs);
                    } else {
                        context.timer().schedule(RETRY_MS, () -> list(prefix, then));
                    }
                }));
    }

    /** @param then is called with the value, or an empty object if there is no such key; failed reads are retried */
    private void get(String key, Consumer<JsonNode> then) {
        stateStore.get(
                key,
                result -> context.timer().schedule(0, () -> {
                    if (result instanceof Ok<Entry> ok) {
                        writer.recordVersion(key, ok.value().version());
                        then.accept(ok.value().value());
                    } else if (result instanceof Missing<Entry>) {
                        then.accept(Json.object());
                    } else {
                        context.timer().schedule(RETRY_MS, () -> get(key, then));
                    }
                }));
    }
}

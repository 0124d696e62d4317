package notchpick.coordination.userapi;

import java.util.function.Consumer;
import notchpick.coordination.JobOutcomes;
import notchpick.coordination.userapi.JobLookup.Found;
import notchpick.coordination.userapi.JobLookup.NotFound;
import notchpick.coordination.userapi.JobLookup.Unavailable;
import notchpick.model.JobRecord;
import notchpick.protocol.StateStoreClient;
import notchpick.protocol.StateStoreClient.Entry;
import notchpick.protocol.StateStoreResult;
import notchpick.protocol.StateStoreResult.Missing;
import notchpick.protocol.StateStoreResult.Ok;
import notchpick.storage.JobRecordCodec;
import notchpick.storage.StateKeys;
import notchpick.transport.CallbackExecutor;

/**
 * Reads single jobs, open or ended. The open jobs are read first: a job that is not among them either has ended, and
 * its record is durable, or does not exist. In the opposite order, a job that ends between the two reads would appear
 * not to exist.
 */
final class JobReader {
    private final OpenJobCache openJobs;
    private final JobOutcomes outcomes;
    private final StateStoreClient stateStore;
    private final CallbackExecutor callbacks;

    JobReader(OpenJobCache openJobs, JobOutcomes outcomes, StateStoreClient stateStore, CallbackExecutor callbacks) {
        this.openJobs = openJobs;
        this.outcomes = outcomes;
        this.stateStore = stateStore;
        this.callbacks = callbacks;
    }

    /** Reads a job; the result reflects a moment after this call, never an earlier one. */
    void read(String id, Consumer<JobLookup> then) {
        openJobs.read(id, lookup -> {
            if (lookup instanceof OpenJobCache.Unavailable) {
                then.accept(new Unavailable(UserReplies.STATE_STORE_UNAVAILABLE));
            } else if (lookup instanceof OpenJobCache.Open open) {
                // A cancelled dependency cancels the job, even if the leader has not recorded that yet.
                JobRecord record = open.cancelledByDependency() ? open.record().cancelled(0) : open.record();
                then.accept(new Found(record, open.version()));
            } else if (!stateStore.hasUnreservedBudget()) {
                then.accept(new Unavailable("too many requests at once"));
            } else {
                stateStore.get(
                        StateKeys.JOB_RECORDS + id, callbacks.onLoop(result -> then.accept(endedLookup(id, result))));
            }
        });
    }

    private JobLookup endedLookup(String id, StateStoreResult<Entry> result) {
        if (result instanceof Ok<Entry> ok) {
            JobRecord record = JobRecordCodec.decode(ok.value().value());
            outcomes.cache(id, record);
            return new Found(record, 0);
        }
        return result instanceof Missing<Entry> ? new NotFound() : new Unavailable(UserReplies.STATE_STORE_UNAVAILABLE);
    }
}

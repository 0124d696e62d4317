package notchpick.coordination.userapi;

import java.util.function.Consumer;
import notchpick.coordination.JobOutcomes;
import notchpick.coordination.userapi.JobLookup.Found;
import notchpick.coordination.userapi.JobLookup.Unavailable;
import notchpick.coordination.userapi.UserReplies.DisplayedStatus;
import notchpick.model.JobRecord;
import notchpick.model.JobStatus;
import notchpick.protocol.StateStoreClient;
import notchpick.protocol.StateStoreResult;
import notchpick.protocol.StateStoreResult.Conflict;
import notchpick.protocol.StateStoreResult.Ok;
import notchpick.protocol.Transaction;
import notchpick.protocol.UserProtocol;
import notchpick.storage.JobRecordCodec;
import notchpick.storage.StateKeys;
import notchpick.transport.CallbackExecutor;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller.Response;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Cancels jobs. A cancellation takes effect, and is confirmed to the user, once it is durable. The leader finds it
 * through its watch of the open jobs and stops the tasks within
 * {@link notchpick.coordination.Deployment#cancellationBoundMs}.
 */
final class CancellationHandler {
    private static final Logger LOG = LoggerFactory.getLogger(CancellationHandler.class);
    /** A conflict means that the job ended or was written after it was read; reading it again shows which. */
    private static final int MAX_ATTEMPTS = 3;

    private final EventLoop loop;
    private final StateStoreClient stateStore;
    private final JobReader jobs;
    private final JobOutcomes outcomes;
    private final CallbackExecutor callbacks;

    CancellationHandler(
            EventLoop loop,
            StateStoreClient stateStore,
            JobReader jobs,
            JobOutcomes outcomes,
            CallbackExecutor callbacks) {
        this.loop = loop;
        this.stateStore = stateStore;
        this.jobs = jobs;
        this.outcomes = outcomes;
        this.callbacks = callbacks;
    }

    /** Cancels a job. Idempotent: a job that has ended is left unchanged. */
    void cancel(String id, Consumer<Response> reply) {
        if (!UserProtocol.isJobId(id)) {
            reply.accept(UserReplies.noSuchJob());
            return;
        }
        readAndCancel(id, reply, MAX_ATTEMPTS);
    }

    private void readAndCancel(String id, Consumer<Response> reply, int attemptsLeft) {
        jobs.read(id, lookup -> {
            if (lookup instanceof Unavailable unavailable) {
                reply.accept(UserReplies.unavailable(unavailable.reason()));
            } else if (!(lookup instanceof Found found)) {
                reply.accept(UserReplies.noSuchJob());
            } else if (found.record().status() != JobStatus.OPEN) {
                reply.accept(UserReplies.ended(
                        id, DisplayedStatus.ofEnded(found.record().status())));
            } else {
                storeCancellation(id, found, reply, attemptsLeft);
            }
        });
    }

    private void storeCancellation(String id, Found found, Consumer<Response> reply, int attemptsLeft) {
        JobRecord cancelled = found.record().cancelled(loop.wallTimeMs());
        Transaction transaction = new Transaction()
                .requireVersion(StateKeys.OPEN_JOBS + id, found.version())
                .put(StateKeys.JOB_RECORDS + id, JobRecordCodec.encode(cancelled))
                .delete(StateKeys.OPEN_JOBS + id);
        stateStore.commit(
                transaction,
                callbacks.onLoop(result -> handleCommitResult(id, cancelled, result, reply, attemptsLeft)));
    }

    private void handleCommitResult(
            String id, JobRecord cancelled, StateStoreResult<Long> result, Consumer<Response> reply, int attemptsLeft) {
        if (result instanceof Ok<Long>) {
            LOG.info("job cancelled: job={}", id);
            outcomes.cache(id, cancelled);
            reply.accept(UserReplies.ended(id, DisplayedStatus.CANCELLED));
        } else if (result instanceof Conflict<Long> && attemptsLeft > 1) {
            readAndCancel(id, reply, attemptsLeft - 1);
        } else {
            reply.accept(UserReplies.unavailable(UserReplies.STATE_STORE_UNAVAILABLE));
        }
    }
}

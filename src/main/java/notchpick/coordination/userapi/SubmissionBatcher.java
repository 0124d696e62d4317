package notchpick.coordination.userapi;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import notchpick.protocol.StateStoreClient;
import notchpick.protocol.StateStoreResult;
import notchpick.protocol.StateStoreResult.Conflict;
import notchpick.protocol.StateStoreResult.Ok;
import notchpick.protocol.StateStoreResult.Refused;
import notchpick.protocol.Transaction;
import notchpick.scheduling.JobSpec;
import notchpick.storage.JobSpecCodec;
import notchpick.storage.StateKeys;
import notchpick.transport.HttpStatus;
import notchpick.transport.Timer;

/**
 * Stores submissions in batches. While {@link #MAX_IN_FLIGHT} transactions are in flight, submissions are queued. The
 * next transaction stores as many of them as it can hold, so a burst of small jobs takes few requests. No submission
 * waits for others to arrive: at a low rate each has its own transaction.
 */
final class SubmissionBatcher {
    /** The result of storing a submission. */
    enum Outcome {
        /** The job is stored. */
        ACCEPTED,
        /** A job with this id exists already. */
        DUPLICATE,
        /** The job may or may not have been stored; submitting it again is safe and shows which. */
        RETRY_LATER
    }

    private static final int MAX_IN_FLIGHT = 4;
    /** The state store accepts 64 KiB per transaction, which also has to hold the keys and conditions. */
    private static final int MAX_BATCH_BYTES = 48 << 10;

    private record Submission(JobSpec spec, Consumer<Outcome> then) {
        String id() {
            return spec.id();
        }
    }

    private final StateStoreClient stateStore;
    private final int maxBatchJobs;
    private final Timer timer;
    private final List<Submission> queue = new ArrayList<>();
    private int inFlight;
    private boolean sendScheduled;

    /** @param maxBatchJobs the largest number of jobs that one transaction may store */
    SubmissionBatcher(StateStoreClient stateStore, int maxBatchJobs, Timer timer) {
        this.stateStore = stateStore;
        this.maxBatchJobs = maxBatchJobs;
        this.timer = timer;
    }

    /** Queues an open job to be stored; {@code then} is called with the result. */
    void add(JobSpec spec, Consumer<Outcome> then) {
        queue.add(new Submission(spec, then));
        if (!sendScheduled && inFlight < MAX_IN_FLIGHT) {
            sendScheduled = true;
            // This runs after the submissions that are already queued in the event loop, so they join the batch.
            timer.schedule(0, () -> {
                sendScheduled = false;
                sendNextBatch();
            });
        }
    }

    private void sendNextBatch() {
        List<Submission> batch = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        int bytes = 0;
        for (Submission submission : queue) {
            bytes += JobSpecCodec.maxBytes(submission.spec());
            // A duplicate of a submission in this batch goes into the next one, where the job is found to exist.
            if (batch.size() == maxBatchJobs
                    || (bytes > MAX_BATCH_BYTES && !batch.isEmpty())
                    || !ids.add(submission.id())) {
                break;
            }
            batch.add(submission);
        }
        queue.subList(0, batch.size()).clear();
        if (!batch.isEmpty()) {
            send(batch);
        }
    }

    private void send(List<Submission> batch) {
        inFlight++;
        Transaction transaction = new Transaction();
        for (Submission submission : batch) {
            // Only one write per job: writes count against the state store's write rate, conditions do not.
            transaction
                    .requireVersion(StateKeys.JOB_RECORDS + submission.id(), 0)
                    .requireVersion(StateKeys.OPEN_JOBS + submission.id(), 0)
                    .put(StateKeys.OPEN_JOBS + submission.id(), JobSpecCodec.encode(submission.spec()));
        }
        stateStore.commit(transaction, result -> timer.schedule(0, () -> handleCommitResult(batch, result)));
    }

    private void handleCommitResult(List<Submission> batch, StateStoreResult<Long> result) {
        inFlight--;
        if (result instanceof Ok<Long>) {
            sendNextBatch();
            complete(batch, Outcome.ACCEPTED);
        } else if (result instanceof Conflict<Long> conflict) {
            handleConflict(batch, conflict);
        } else if (result instanceof Refused<Long> refused
                && refused.status() == HttpStatus.TOO_MANY_REQUESTS
                && batch.size() > 1) {
            retryHalf(batch);
        } else if (result instanceof Refused<Long> refused && refused.status() == HttpStatus.BAD_REQUEST) {
            isolateMalformed(batch);
        } else {
            failAll(batch);
        }
    }

    /** Retries without the jobs that already exist, so that they don't keep the rest of the batch from being stored. */
    private void handleConflict(List<Submission> batch, Conflict<Long> conflict) {
        List<Submission> duplicates = new ArrayList<>();
        List<Submission> others = new ArrayList<>();
        for (Submission submission : batch) {
            boolean exists = conflict.keys().contains(StateKeys.JOB_RECORDS + submission.id())
                    || conflict.keys().contains(StateKeys.OPEN_JOBS + submission.id());
            (exists ? duplicates : others).add(submission);
        }
        if (duplicates.isEmpty()) {
            sendNextBatch();
            complete(others, Outcome.RETRY_LATER);
        } else {
            retry(others);
            complete(duplicates, Outcome.DUPLICATE);
        }
    }

    /** Handles an exceeded write rate: retries half of the batch, which may be accepted, and sheds the other half. */
    private void retryHalf(List<Submission> batch) {
        int half = batch.size() / 2;
        retry(batch.subList(0, half));
        complete(batch.subList(half, batch.size()), Outcome.RETRY_LATER);
    }

    /** Splits a batch that the state store will never accept, so that one bad submission doesn't fail the others. */
    private void isolateMalformed(List<Submission> batch) {
        if (batch.size() > 1) {
            send(batch.subList(0, 1));
            send(batch.subList(1, batch.size()));
        } else {
            sendNextBatch();
            complete(batch, Outcome.RETRY_LATER);
        }
    }

    /** Fails the whole queue when the state store is unreachable; each further batch would only wait for a timeout. */
    private void failAll(List<Submission> batch) {
        List<Submission> all = new ArrayList<>(batch);
        all.addAll(queue);
        queue.clear();
        complete(all, Outcome.RETRY_LATER);
    }

    private void retry(List<Submission> batch) {
        if (batch.isEmpty()) {
            sendNextBatch();
        } else {
            send(batch);
        }
    }

    private static void complete(List<Submission> submissions, Outcome outcome) {
        submissions.forEach(submission -> submission.then().accept(outcome));
    }
}

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
 * Stores submissions in batches. A few transactions are in flight at a time, and each includes what has arrived
 * meanwhile, so that a burst of small jobs takes few requests. No submission waits for others to arrive: at a low rate
 * each has a transaction of its own.
 */
final class SubmissionBatcher {
    /** What becomes of a submission. */
    enum Outcome {
        /** The job is stored. */
        ACCEPTED,
        /** A job with this id exists already. */
        DUPLICATE,
        /** The job may not have been stored; another submission of it finds out. */
        RETRY_LATER
    }

    private static final int MAX_IN_FLIGHT = 4;
    /** A transaction may hold 64 KiB in all; keys and conditions take some of it. */
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

    /** @param maxBatchJobs the most jobs that one transaction stores */
    SubmissionBatcher(StateStoreClient stateStore, int maxBatchJobs, Timer timer) {
        this.stateStore = stateStore;
        this.maxBatchJobs = maxBatchJobs;
        this.timer = timer;
    }

    /** Stores an open job. */
    void add(JobSpec spec, Consumer<Outcome> then) {
        queue.add(new Submission(spec, then));
        if (!sendScheduled && inFlight < MAX_IN_FLIGHT) {
            sendScheduled = true;
            // Submissions that are already queued in the event loop join the batch.
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
            // A retry that was sent before the first reply goes into the next batch, and finds the job stored.
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
            // One write for each job: the rate of writes is scarce, while guards are free.
            transaction
                    .requireVersion(StateKeys.JOB_RECORDS + submission.id(), 0)
                    .requireVersion(StateKeys.OPEN_JOBS + submission.id(), 0)
                    .put(StateKeys.OPEN_JOBS + submission.id(), JobSpecCodec.encode(submission.spec()));
        }
        stateStore.commit(transaction, result -> timer.schedule(0, () -> committed(batch, result)));
    }

    private void committed(List<Submission> batch, StateStoreResult<Long> result) {
        inFlight--;
        if (result instanceof Ok<Long>) {
            sendNextBatch();
            complete(batch, Outcome.ACCEPTED);
        } else if (result instanceof Conflict<Long> conflict) {
            conflicted(batch, conflict);
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

    /** Jobs that exist must not keep the others of the batch from being stored. */
    private void conflicted(List<Submission> batch, Conflict<Long> conflict) {
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

    /** The rate of writes is exceeded: a smaller transaction may pass, and the other submissions are shed. */
    private void retryHalf(List<Submission> batch) {
        int half = batch.size() / 2;
        retry(batch.subList(0, half));
        complete(batch.subList(half, batch.size()), Outcome.RETRY_LATER);
    }

    /** The state store will never take one of the batch: it must not fail the others. */
    private void isolateMalformed(List<Submission> batch) {
        if (batch.size() > 1) {
            send(batch.subList(0, 1));
            send(batch.subList(1, batch.size()));
        } else {
            sendNextBatch();
            complete(batch, Outcome.RETRY_LATER);
        }
    }

    /** The state store can't be reached: the queue fails now, rather than batch by batch after a timeout each. */
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

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
import notchpick.transport.Timer;

/**
 * Writes down the jobs that users submit, before they are told. A few transactions are on their way at a time,
 * and each takes along what came meanwhile, so that a swarm of small jobs needs few requests. Nothing waits
 * for company: where few come, each goes by itself at once.
 */
final class SubmissionBatcher {
    /** What becomes of a submission. */
    enum Outcome {
        ACCEPTED,
        KNOWN,
        REFUSED
    }

    private static final int TOO_MANY = 429;
    private static final int MALFORMED = 400;
    private static final int MOST_ON_THEIR_WAY = 4;
    /** A transaction may hold 64 KiB in all; keys and conditions take some of it. */
    private static final int MAX_BYTES = 48 << 10;

    private record Submission(JobSpec spec, Consumer<Outcome> then) {}

    private final StateStoreClient state;
    private final int most;
    private final Timer timer;
    private final List<Submission> waiting = new ArrayList<>();
    private int onTheirWay;
    private boolean due;

    /** @param most so many jobs go into one transaction */
    SubmissionBatcher(StateStoreClient state, int most, Timer timer) {
        this.state = state;
        this.most = most;
        this.timer = timer;
    }

    /** Writes the job down as open, and tells what came of it. */
    void add(JobSpec spec, Consumer<Outcome> then) {
        waiting.add(new Submission(spec, then));
        if (!due && onTheirWay < MOST_ON_THEIR_WAY) {
            due = true;
            // Whatever else has arrived already shall go along.
            timer.after(0, () -> {
                due = false;
                next();
            });
        }
    }

    private void next() {
        List<Submission> batch = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        int bytes = 0;
        for (Submission submission : waiting) {
            bytes += JobSpecCodec.maxBytes(submission.spec());
            // A user's second try, sent before the first was answered, goes with the next and finds it known.
            if (batch.size() == most
                    || bytes > MAX_BYTES && !batch.isEmpty()
                    || !ids.add(submission.spec().id())) {
                break;
            }
            batch.add(submission);
        }
        waiting.subList(0, batch.size()).clear();
        if (!batch.isEmpty()) {
            onTheirWay++;
            send(batch);
        }
    }

    private void send(List<Submission> batch) {
        Transaction transaction = new Transaction();
        for (Submission submission : batch) {
            String id = submission.spec().id();
            // One change only: what users may write is little, and conditions are free.
            transaction
                    .guard(StateKeys.JOB_RECORDS + id, 0)
                    .guard(StateKeys.OPEN_JOBS + id, 0)
                    .put(StateKeys.OPEN_JOBS + id, JobSpecCodec.encode(submission.spec()));
        }
        state.commit(transaction, result -> timer.after(0, () -> committed(batch, result)));
    }

    private void committed(List<Submission> batch, StateStoreResult<Long> result) {
        onTheirWay--;
        if (result instanceof Conflict<Long> conflict) {
            List<Submission> rest = new ArrayList<>();
            List<Submission> known = new ArrayList<>();
            for (Submission submission : batch) {
                String id = submission.spec().id();
                boolean isKnown = conflict.keys().contains(StateKeys.JOB_RECORDS + id)
                        || conflict.keys().contains(StateKeys.OPEN_JOBS + id);
                (isKnown ? known : rest).add(submission);
            }
            // The others of the batch have done nothing wrong.
            again(known.isEmpty() ? List.of() : rest);
            tell(known, Outcome.KNOWN);
            tell(known.isEmpty() ? rest : List.of(), Outcome.REFUSED);
        } else if (result instanceof Refused<Long> refused && refused.status() == TOO_MANY && batch.size() > 1) {
            // Too many changes at once: fewer may find room, and the others are told when to come back.
            int half = batch.size() / 2;
            again(batch.subList(0, half));
            tell(batch.subList(half, batch.size()), Outcome.REFUSED);
        } else if (result instanceof Refused<Long> refused && refused.status() == MALFORMED) {
            // One of them the service will never take: the others must not share its fate.
            if (batch.size() > 1) {
                onTheirWay++;
                send(batch.subList(0, 1));
                again(batch.subList(1, batch.size()));
            } else {
                again(List.of());
                tell(batch, Outcome.REFUSED);
            }
        } else if (result instanceof Ok<Long>) {
            again(List.of());
            tell(batch, Outcome.ACCEPTED);
        } else {
            // The service is down or out of reach: who waits learns it now, not one time-out after the other.
            List<Submission> all = new ArrayList<>(batch);
            all.addAll(waiting);
            waiting.clear();
            tell(all, Outcome.REFUSED);
        }
    }

    private void again(List<Submission> first) {
        if (first.isEmpty()) {
            next();
        } else {
            onTheirWay++;
            send(first);
        }
    }

    private static void tell(List<Submission> submissions, Outcome outcome) {
        submissions.forEach(submission -> submission.then().accept(outcome));
    }
}

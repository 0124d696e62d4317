package notchpick.simulation;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import notchpick.protocol.InvalidMessageException;
import notchpick.protocol.Json;
import notchpick.simulation.JobGroundTruth.SubmittedJob;
import notchpick.transport.HttpCaller;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;

/** Simulated users: submit, poll and cancel jobs, and report every answer to the invariant checker. */
public final class SimulatedUsers {
    /** Called on cancellations. */
    interface CancellationListener {
        /** An answer to a cancel request was the first answer of any kind that showed the job as cancelled. */
        void cancellationConfirmed(String job);
    }

    private static final int TIMEOUT_MS = 5000;
    private static final long POLL_PERIOD_MS = 5000;
    private static final long RETRY_DELAY_MS = 1000;
    private static final long SUBMISSION_RETRIES_MS = 60_000;
    private static final int READS_AT_ALL_CONTROLLERS = 3;
    private static final long READ_INTERVAL_MS = 2;
    private static final int MAX_CANCELLATION_DELAY_MS = 200;

    private final SimulatedTime time;
    private final HttpCaller caller;
    private final SimulatedControllers controllers;
    private final JobGroundTruth jobs;
    private final InvariantChecker invariants;
    private final OccurrenceCounters occurrences;
    private final Random random;
    private CancellationListener cancellationListener = job -> {};
    /** The state in the last answer, by job; a final state is never replaced. */
    private final Map<String, String> lastStates = new LinkedHashMap<>();

    private final Map<String, Integer> lastHttpStatuses = new HashMap<>();
    private final Map<Integer, Integer> pollBurstAnswers = new HashMap<>();
    private double cancelAtCompletionShare;
    private boolean readAfterEachChange;
    private boolean readAtElections;
    private int nextController;
    private int deferredSubmissions;
    private int deferredWithoutRetryAfter;

    SimulatedUsers(
            SimulatedTime time,
            HttpCaller caller,
            SimulatedControllers controllers,
            JobGroundTruth jobs,
            InvariantChecker invariants,
            OccurrenceCounters occurrences,
            Random random) {
        this.time = time;
        this.caller = caller;
        this.controllers = controllers;
        this.jobs = jobs;
        this.invariants = invariants;
        this.occurrences = occurrences;
        this.random = random;
    }

    void setCancellationListener(CancellationListener listener) {
        cancellationListener = listener;
    }

    /** Whether a user submitted the job, including invalid submissions that were answered. */
    public boolean hasSubmitted(String job) {
        return jobs.contains(job) || lastHttpStatuses.containsKey(job);
    }

    /** Whether a user has got a successful answer about the job. */
    boolean hasAnswerAbout(String job) {
        return lastStates.containsKey(job);
    }

    /** The job's state in the last answer to a user; "nothing" if there was none. */
    public String lastState(String job) {
        return lastStates.getOrDefault(job, "nothing");
    }

    /** The HTTP status of the last answer about the job; 0 if there was none. */
    public int lastHttpStatus(String job) {
        return lastHttpStatuses.getOrDefault(job, 0);
    }

    /** How many answers to submissions neither accepted nor rejected the job, so that the user retried. */
    public int deferredSubmissions() {
        return deferredSubmissions;
    }

    /** How many of the {@link #deferredSubmissions} had status 503 and named no time after which to retry. */
    public int deferredWithoutRetryAfter() {
        return deferredWithoutRetryAfter;
    }

    /** How many polls of {@link #pollBurst} were answered with this HTTP status. */
    public int pollBurstAnswers(int httpStatus) {
        return pollBurstAnswers.getOrDefault(httpStatus, 0);
    }

    /**
     * Submits a job and retries for a minute until it is accepted or rejected; polls an accepted job until it ends.
     *
     * @param runS how long a task runs
     * @param runTimeVariation the largest deviation of a task's run time from {@code runS}, as a fraction of it
     * @param fails whether every task ends with an error
     */
    public void submit(ObjectNode body, double runS, double runTimeVariation, boolean fails)
            throws InvalidMessageException {
        SubmittedJob job = jobs.add(body, runS, runTimeVariation, fails);
        invariants.recordSubmission(job.spec());
        submitUntil(job.spec().id(), body, time.nowMs() + SUBMISSION_RETRIES_MS);
    }

    private void submitUntil(String job, ObjectNode body, long retryUntilMs) {
        long requestedAtMs = time.nowMs();
        call("POST", "/submissions", Json.bytes(body), answer -> {
            lastHttpStatuses.put(job, answer.status());
            recordAnswer(job, answer, requestedAtMs);
            if (isSuccess(answer)) {
                readAfterChange(job);
                time.schedule(POLL_PERIOD_MS, () -> poll(job));
            } else if (!isRejection(answer) && time.nowMs() < retryUntilMs) {
                deferredSubmissions++;
                deferredWithoutRetryAfter += answer.status() == 503 && answer.retryAfterS() <= 0 ? 1 : 0;
                time.schedule(RETRY_DELAY_MS, () -> submitUntil(job, body, retryUntilMs));
            }
        });
    }

    /** Sends a submission once, valid or not, and keeps only the HTTP status of the answer. */
    public void submitOnce(String job, byte[] body) {
        call("POST", "/submissions", body, answer -> lastHttpStatuses.put(job, answer.status()));
    }

    /** Sends a submission that must not be accepted, once to every controller. */
    public void submitInvalid(String job, byte[] body) {
        invariants.recordInvalidSubmission(job);
        for (String node : controllers.nodes()) {
            callNode(node, "POST", "/submissions", body, answer -> {
                lastHttpStatuses.put(job, answer.status());
                invariants.recordAnswer(job, answer.status(), null);
                occurrences.increment(
                        isRejection(answer)
                                ? Occurrence.INVALID_SUBMISSION_REFUSED
                                : Occurrence.INVALID_SUBMISSION_UNDECIDED);
            });
        }
    }

    /** Submits a job again, to one controller. */
    public void resubmit(String job) {
        long requestedAtMs = time.nowMs();
        call("POST", "/submissions", Json.bytes(jobs.job(job).body()), answer -> {
            lastHttpStatuses.put(job, answer.status());
            recordAnswer(job, answer, requestedAtMs);
        });
    }

    private void resubmitAtAllControllers(String job) {
        long requestedAtMs = time.nowMs();
        byte[] body = Json.bytes(jobs.job(job).body());
        for (String node : controllers.nodes()) {
            callNode(node, "POST", "/submissions", body, answer -> recordAnswer(job, answer, requestedAtMs));
        }
    }

    /** Reads the job's state now, and then periodically until the job has ended. */
    public void poll(String job) {
        long requestedAtMs = time.nowMs();
        call("GET", "/submissions/" + job, null, answer -> {
            lastHttpStatuses.put(job, answer.status());
            recordAnswer(job, answer, requestedAtMs);
            if (jobs.contains(job) && !InvariantChecker.isFinal(lastState(job))) {
                time.schedule(POLL_PERIOD_MS, () -> poll(job));
            }
        });
    }

    /** Reads the job's state {@code polls} times within a second; a read without an answer is not retried. */
    public void pollBurst(String job, int polls) {
        for (int i = 0; i < polls; i++) {
            time.schedule(1000L * i / polls, () -> {
                long requestedAtMs = time.nowMs();
                call("GET", "/submissions/" + job, null, answer -> {
                    recordAnswer(job, answer, requestedAtMs);
                    pollBurstAnswers.merge(answer.status(), 1, Integer::sum);
                });
            });
        }
    }

    /** Submits the job again to all controllers and reads it from all of them a few times within milliseconds. */
    public void readAtAllControllers(String job) {
        resubmitAtAllControllers(job);
        for (int i = 0; i < READS_AT_ALL_CONTROLLERS; i++) {
            time.schedule(READ_INTERVAL_MS * i, () -> {
                long requestedAtMs = time.nowMs();
                for (String node : controllers.nodes()) {
                    callNode(
                            node,
                            "GET",
                            "/submissions/" + job,
                            null,
                            answer -> recordAnswer(job, answer, requestedAtMs));
                }
            });
        }
        occurrences.increment(Occurrence.READ_AT_ALL_CONTROLLERS);
    }

    /** Sets whether users read from all controllers after each acceptance, completion and cancellation. */
    public void setReadAfterEachChange(boolean enabled) {
        readAfterEachChange = enabled;
    }

    private void readAfterChange(String job) {
        if (readAfterEachChange) {
            readAtAllControllers(job);
        }
    }

    /** Sets whether users read the latest jobs at each election and at the end of each outage. */
    public void setReadAtElections(boolean enabled) {
        readAtElections = enabled;
    }

    /** Called when a controller has become leader. */
    void onLeaderElected() {
        if (readAtElections) {
            readLatestJobs(Occurrence.READ_AT_ELECTION);
        }
    }

    /** Called when an outage of the state store has ended. */
    void onOutageEnded() {
        if (readAtElections) {
            readLatestJobs(Occurrence.READ_AT_OUTAGE_END);
        }
    }

    /** Reads the latest open, done and cancelled job, as far as each exists, from all controllers. */
    private void readLatestJobs(Occurrence occurrence) {
        Map<String, String> latest = new HashMap<>();
        lastStates.forEach((job, state) -> latest.put(InvariantChecker.isFinal(state) ? state : "open", job));
        latest.values().stream().filter(jobs::contains).forEach(job -> {
            readAtAllControllers(job);
            occurrences.increment(occurrence);
        });
    }

    /** Cancels the job; retries until a controller answers with status 200, whatever the job's state is by then. */
    public void cancel(String job) {
        invariants.recordCancelRequest(job);
        long requestedAtMs = time.nowMs();
        call("POST", "/submissions/" + job + "/abort", new byte[0], answer -> {
            String stateBefore = lastState(job);
            recordAnswer(job, answer, requestedAtMs);
            if (answer.status() != 200) {
                time.schedule(RETRY_DELAY_MS, () -> cancel(job));
                return;
            }
            if (lastState(job).equals("cancelled") && !stateBefore.equals("cancelled")) {
                cancellationListener.cancellationConfirmed(job);
            }
            readAfterChange(job);
        });
    }

    /** Cancels up to {@code count} of these jobs, longest run time first, within a fifth of a second; returns them. */
    List<String> cancelSome(Set<String> candidates, int count) {
        List<String> chosen = candidates.stream()
                .filter(job -> !invariants.isCancelRequested(job))
                .sorted(Comparator.comparingLong((String job) -> -jobs.job(job).runMs()))
                .limit(count)
                .toList();
        chosen.forEach(job -> time.schedule(random.nextInt(MAX_CANCELLATION_DELAY_MS), () -> cancel(job)));
        return chosen;
    }

    /** Sets the share of jobs that are cancelled at the moment when their last task completes. */
    public void setCancelAtCompletionShare(double share) {
        cancelAtCompletionShare = share;
    }

    /** Called when a task has completed; if it was the job's last one, the job may be cancelled now. */
    void onTaskCompleted(String task) {
        SubmittedJob job = jobs.job(InvariantChecker.jobOf(task));
        if (cancelAtCompletionShare > 0
                && invariants.completedTasks(job.spec()) == job.spec().tasks()
                && random.nextDouble() < cancelAtCompletionShare) {
            occurrences.increment(Occurrence.CANCELLED_AT_COMPLETION);
            cancel(job.spec().id());
        }
    }

    private void call(String method, String path, byte[] body, Consumer<Response> then) {
        callNode(nextRunningController(), method, path, body, then);
    }

    private void callNode(String node, String method, String path, byte[] body, Consumer<Response> then) {
        caller.call(new Request(controllers.userAddresses().get(node), method, path, body), TIMEOUT_MS, then);
    }

    /** Picks running controllers in turn, like a load balancer; the first controller if none runs. */
    private String nextRunningController() {
        List<String> nodes = controllers.nodes();
        for (int i = 0; i < nodes.size(); i++) {
            String node = nodes.get(nextController++ % nodes.size());
            if (controllers.isRunning(node)) {
                return node;
            }
        }
        return nodes.get(0);
    }

    private static boolean isSuccess(Response answer) {
        return answer.status() / 100 == 2;
    }

    private static boolean isRejection(Response answer) {
        return answer.status() == 400 || answer.status() == 422;
    }

    private void recordAnswer(String job, Response answer, long requestedAtMs) {
        ObjectNode body = answer.body().length == 0 ? null : Json.object(answer.body());
        String state = body == null ? null : body.path("status").asText(null);
        invariants.recordAnswer(job, answer.status(), state, requestedAtMs);
        if (!isSuccess(answer)) {
            return;
        }
        String stateBefore = lastStates.get(job);
        // Answers can arrive out of order, so a final state is never replaced.
        if (!InvariantChecker.isFinal(stateBefore)) {
            lastStates.put(job, state);
        }
        if ("done".equals(state) && !"done".equals(stateBefore)) {
            readAfterChange(job);
        }
    }
}

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

/** The users: they submit, poll and cancel jobs, and report every answer to the invariant checker. */
public final class SimulatedUsers {
    /** Is notified of cancellations. */
    interface CancellationListener {
        /** For the first time a user got the answer that the job is cancelled. */
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
    /** The state of each job in the last answer; a final state stays. */
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

    /** Whether a user submitted the job, acceptably or not. */
    public boolean hasSubmitted(String job) {
        return jobs.contains(job) || lastHttpStatuses.containsKey(job);
    }

    /** Whether a user has got an answer that gives the job's state. */
    boolean hasAnswerAbout(String job) {
        return lastStates.containsKey(job);
    }

    /** The job's state in the last answer to a user; "nothing" where there was none. */
    public String lastState(String job) {
        return lastStates.getOrDefault(job, "nothing");
    }

    /** The HTTP status of the last answer about the job; 0: there was none. */
    public int lastHttpStatus(String job) {
        return lastHttpStatuses.getOrDefault(job, 0);
    }

    /** Answers to submissions that were neither accepted nor refused for good. */
    public int deferredSubmissions() {
        return deferredSubmissions;
    }

    /** Those of them with status 503 that name no time after which to retry. */
    public int deferredWithoutRetryAfter() {
        return deferredWithoutRetryAfter;
    }

    /** How many polls of bursts were answered with this HTTP status. */
    public int pollBurstAnswers(int httpStatus) {
        return pollBurstAnswers.getOrDefault(httpStatus, 0);
    }

    /**
     * Submits a job, and again until it is accepted or refused; then polls it until it ends.
     *
     * @param runS how long a task runs
     * @param runTimeVariation by what part of the run time single tasks run shorter or longer
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
            } else if (!isRefusal(answer) && time.nowMs() < retryUntilMs) {
                deferredSubmissions++;
                deferredWithoutRetryAfter += answer.status() == 503 && answer.retryAfterS() <= 0 ? 1 : 0;
                time.schedule(RETRY_DELAY_MS, () -> submitUntil(job, body, retryUntilMs));
            }
        });
    }

    /** Sends a submission once, valid or not, and keeps the HTTP status. */
    public void submitOnce(String job, byte[] body) {
        call("POST", "/submissions", body, answer -> lastHttpStatuses.put(job, answer.status()));
    }

    /** Sends a submission that must not be accepted to every controller. */
    public void submitInvalid(String job, byte[] body) {
        invariants.recordInvalidSubmission(job);
        for (String node : controllers.nodes()) {
            callNode(node, "POST", "/submissions", body, answer -> {
                lastHttpStatuses.put(job, answer.status());
                invariants.recordAnswer(job, answer.status(), null);
                occurrences.increment(
                        isRefusal(answer)
                                ? Occurrence.INVALID_SUBMISSION_REFUSED
                                : Occurrence.INVALID_SUBMISSION_UNDECIDED);
            });
        }
    }

    /** Submits an accepted job once more, to one controller. */
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

    /** Reads the job's state, now and again until the job has ended. */
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

    /** Reads the job's state so many times within a second; a read without an answer is not retried. */
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

    /** Submits the job again at all controllers and reads it there a few times within milliseconds. */
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

    /** From now on users read at all controllers after each acceptance, completion and cancellation. */
    public void setReadAfterEachChange(boolean enabled) {
        readAfterEachChange = enabled;
    }

    private void readAfterChange(String job) {
        if (readAfterEachChange) {
            readAtAllControllers(job);
        }
    }

    /** From now on users read the latest jobs at the moment of each election and at the end of each outage. */
    public void setReadAtElections(boolean enabled) {
        readAtElections = enabled;
    }

    /** A controller has become leader. */
    void onLeaderElected() {
        if (readAtElections) {
            readLatestJobs(Occurrence.READ_AT_ELECTION);
        }
    }

    /** The state store serves again. */
    void onOutageEnded() {
        if (readAtElections) {
            readLatestJobs(Occurrence.READ_AT_OUTAGE_END);
        }
    }

    /** Reads the jobs whose last answers were open, done and cancelled. */
    private void readLatestJobs(Occurrence occurrence) {
        Map<String, String> latest = new HashMap<>();
        lastStates.forEach((job, state) -> latest.put(InvariantChecker.isFinal(state) ? state : "open", job));
        latest.values().stream().filter(jobs::contains).forEach(job -> {
            readAtAllControllers(job);
            occurrences.increment(occurrence);
        });
    }

    /** Cancels the job; repeats the request until a controller has confirmed the job's state. */
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

    /** Users cancel so many of these jobs, those that run longest first, within a fifth of a second. */
    List<String> cancelSome(Set<String> candidates, int count) {
        List<String> chosen = candidates.stream()
                .filter(job -> !invariants.isCancelRequested(job))
                .sorted(Comparator.comparingLong((String job) -> -jobs.job(job).runMs()))
                .limit(count)
                .toList();
        chosen.forEach(job -> time.schedule(random.nextInt(MAX_CANCELLATION_DELAY_MS), () -> cancel(job)));
        return chosen;
    }

    /** From now on this share of the jobs is cancelled at the moment at which their last task completes. */
    public void setCancelAtCompletionShare(double share) {
        cancelAtCompletionShare = share;
    }

    /** A task has completed: users may cancel its job at this moment. */
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

    /** As a load balancer, takes the controllers in turn. */
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

    private static boolean isRefusal(Response answer) {
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
        // Answers may overtake each other: a final state is kept.
        if (!InvariantChecker.isFinal(stateBefore)) {
            lastStates.put(job, state);
        }
        if ("done".equals(state) && !"done".equals(stateBefore)) {
            readAfterChange(job);
        }
    }
}

package notchpick.model;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/** How well tasks run on a machine and whether commands reach it; suppresses launches where either is in doubt. */
public final class MachineHealth {
    private static final int MAX_SUPPRESSION_DOUBLINGS = 3;

    private final Map<String, Long> taskFailures = new HashMap<>();
    private long quarantinedUntilMs;
    private long suspectedSinceMs;
    private int missedReplies;
    private long launchesSuppressedUntilMs;

    /** Whether launches are neither prevented by a quarantine nor suppressed after missed replies. */
    boolean isLaunchPermitted(long nowMs) {
        return quarantinedUntilMs <= nowMs && launchesSuppressedUntilMs <= nowMs;
    }

    /**
     * Records that a reply with launch commands was lost, as the next heartbeat has shown. Launches are suppressed for
     * a time that doubles with each missed reply: on a machine that commands do not reach, planned tasks would hold
     * resources without running.
     */
    public void recordMissedReply(long nowMs, long heartbeatPeriodMs) {
        missedReplies = Math.min(missedReplies + 1, MAX_SUPPRESSION_DOUBLINGS);
        launchesSuppressedUntilMs = nowMs + (heartbeatPeriodMs << missedReplies);
    }

    /** Records that the worker has certainly received a reply. */
    public void recordReceivedReply() {
        missedReplies = 0;
        launchesSuppressedUntilMs = 0;
    }

    /** The time of each job's last failure on the machine since any task last succeeded there, in milliseconds. */
    public Map<String, Long> taskFailures() {
        return Collections.unmodifiableMap(taskFailures);
    }

    /** Records that a task of the job has failed here. */
    public void recordTaskFailure(String job, long nowMs) {
        taskFailures.put(job, nowMs);
    }

    /** Records that a task has succeeded here, which clears all failures. */
    public void recordTaskSuccess() {
        taskFailures.clear();
    }

    /** Whether a task of the job failed here less than this long ago, and none has succeeded here since. */
    public boolean hasFailedWithin(String job, long nowMs, long withinMs) {
        Long failedAtMs = taskFailures.get(job);
        return failedAtMs != null && nowMs - failedAtMs < withinMs;
    }

    /** Prevents launches on the machine until this time. */
    public void quarantine(long untilMs) {
        quarantinedUntilMs = untilMs;
    }

    /** Quarantines the machine until it has been found healthy or faulty. */
    public void suspect(long nowMs) {
        suspectedSinceMs = nowMs;
        quarantinedUntilMs = Long.MAX_VALUE;
    }

    /** Ends the quarantine of a machine that has been found healthy. */
    public void clearSuspicion(long nowMs) {
        suspectedSinceMs = 0;
        quarantinedUntilMs = nowMs;
    }

    public boolean isSuspected() {
        return suspectedSinceMs != 0;
    }

    public long suspectedSinceMs() {
        return suspectedSinceMs;
    }
}

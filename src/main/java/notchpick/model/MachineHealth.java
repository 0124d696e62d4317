package notchpick.model;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/** What is known of how well tasks run on a machine, and commands reach it; it suppresses launches where they don't. */
public final class MachineHealth {
    private static final int MAX_SUPPRESSION_DOUBLINGS = 3;

    private final Map<String, Long> taskFailures = new HashMap<>();
    private long quarantinedUntil;
    private long suspectedSinceMs;
    private int missedReplies;
    private long launchesSuppressedUntil;

    /** Whether tasks may be launched as far as the machine's health goes. */
    boolean permitsLaunches(long now) {
        return quarantinedUntil <= now && launchesSuppressedUntil <= now;
    }

    // ---- replies -------------------------------------------------------------------------------

    /**
     * A reply with launch commands was lost, as the next heartbeat shows. Launches are suppressed for a time that
     * doubles with each reply missed: on a machine that hears nothing they would take resources in vain.
     */
    public void recordMissedReply(long now, long heartbeatPeriodMs) {
        missedReplies = Math.min(missedReplies + 1, MAX_SUPPRESSION_DOUBLINGS);
        launchesSuppressedUntil = now + (heartbeatPeriodMs << missedReplies);
    }

    /** A reply has surely arrived. */
    public void recordReceivedReply() {
        missedReplies = 0;
        launchesSuppressedUntil = 0;
    }

    // ---- task failures -------------------------------------------------------------------------

    /** The last failure of each job whose tasks have failed here since one succeeded, in milliseconds. */
    public Map<String, Long> taskFailures() {
        return Collections.unmodifiableMap(taskFailures);
    }

    /** A task of the job has failed here. */
    public void recordTaskFailure(String job, long now) {
        taskFailures.put(job, now);
    }

    /** A task has succeeded here. */
    public void recordTaskSuccess() {
        taskFailures.clear();
    }

    /** Whether a task of the job failed here within this time. */
    public boolean hasFailedWithin(String job, long now, long withinMs) {
        Long failedAt = taskFailures.get(job);
        return failedAt != null && now - failedAt < withinMs;
    }

    // ---- quarantine ----------------------------------------------------------------------------

    /** No tasks are launched on the machine until then. */
    public void quarantine(long untilMs) {
        quarantinedUntil = untilMs;
    }

    /** The machine is quarantined until it has been found sound or faulty. */
    public void suspect(long now) {
        suspectedSinceMs = now;
        quarantinedUntil = Long.MAX_VALUE;
    }

    /** The machine is found to be sound. */
    public void clearSuspicion(long now) {
        suspectedSinceMs = 0;
        quarantinedUntil = now;
    }

    public boolean isSuspected() {
        return suspectedSinceMs != 0;
    }

    public long suspectedSinceMs() {
        return suspectedSinceMs;
    }
}

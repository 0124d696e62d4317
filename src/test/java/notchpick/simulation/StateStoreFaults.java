package notchpick.simulation;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

/** The faults that are currently injected into the state store. */
final class StateStoreFaults {
    private static final int RANDOM_SEED = 7;
    private static final int MIN_UNANSWERED_DELAY_MS = 2000;
    private static final int UNANSWERED_DELAY_RANGE_MS = 10_000;

    /** Decides which transactions get no answer and when they are applied; seeded, so that runs can be repeated. */
    private final Random random = new Random(RANDOM_SEED);

    private final Set<String> refusedHosts = new HashSet<>();
    private boolean outage;
    private boolean watchesHang;
    private int commitsToLeaveUnanswered;
    private long unansweredCommitDelayMs;
    private double unansweredShare;
    private boolean unansweredAppliedImmediately;
    private long listDelayMs;

    boolean isOutage() {
        return outage;
    }

    void setOutage(boolean active) {
        outage = active;
    }

    boolean isRefused(String host) {
        return refusedHosts.contains(host);
    }

    /** Starts or stops refusing the requests of one host. */
    void setRefused(String host, boolean refused) {
        if (refused) {
            refusedHosts.add(host);
        } else {
            refusedHosts.remove(host);
        }
    }

    boolean areWatchesHanging() {
        return watchesHang;
    }

    void setWatchesHanging(boolean active) {
        watchesHang = active;
    }

    long listDelayMs() {
        return listDelayMs;
    }

    void setListDelay(long delayMs) {
        listDelayMs = delayMs;
    }

    /** Leaves the next {@code count} transactions unanswered; they are applied after the delay. */
    void leaveCommitsUnanswered(int count, long delayMs) {
        commitsToLeaveUnanswered = count;
        unansweredCommitDelayMs = delayMs;
    }

    /** Sets the share of transactions that get no answer and are applied immediately or seconds later. */
    void setUnansweredShare(double share, boolean appliedImmediately) {
        unansweredShare = share;
        unansweredAppliedImmediately = appliedImmediately;
    }

    /** The delay after which the arriving transaction is applied without an answer; empty if it is answered. */
    OptionalLong nextUnansweredCommitDelayMs() {
        if (commitsToLeaveUnanswered > 0) {
            commitsToLeaveUnanswered--;
            return OptionalLong.of(unansweredCommitDelayMs);
        }
        if (random.nextDouble() >= unansweredShare) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(
                unansweredAppliedImmediately ? 0 : MIN_UNANSWERED_DELAY_MS + random.nextInt(UNANSWERED_DELAY_RANGE_MS));
    }
}

package notchpick.simulation;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

/** What is wrong with the state store. */
final class StateStoreFaults {
    private static final int RANDOM_SEED = 7;
    private static final int MIN_UNANSWERED_DELAY_MS = 2000;
    private static final int UNANSWERED_DELAY_RANGE_MS = 10_000;

    /** Draws which transactions get no answer, and how late they are applied. */
    private final Random random = new Random(RANDOM_SEED);

    private final Set<String> refusedHosts = new HashSet<>();
    private boolean outage;
    private boolean watchesHang;
    private int commitsToLose;
    private long lostCommitDelayMs;
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

    /** Whether this host alone is refused. */
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

    /** The next so many transactions get no answer, and are applied this much later. */
    void leaveCommitsUnanswered(int count, long delayMs) {
        commitsToLose = count;
        lostCommitDelayMs = delayMs;
    }

    /** This share of the transactions gets no answer, and is applied immediately or seconds later. */
    void setUnansweredShare(double share, boolean appliedImmediately) {
        unansweredShare = share;
        unansweredAppliedImmediately = appliedImmediately;
    }

    /** For the transaction that has just arrived: empty if it is answered, else how much later it is applied. */
    OptionalLong delayOfUnansweredCommit() {
        if (commitsToLose > 0) {
            commitsToLose--;
            return OptionalLong.of(lostCommitDelayMs);
        }
        if (random.nextDouble() >= unansweredShare) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(
                unansweredAppliedImmediately ? 0 : MIN_UNANSWERED_DELAY_MS + random.nextInt(UNANSWERED_DELAY_RANGE_MS));
    }
}

package notchpick.simulation;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** An event that scenarios count, to check that a run has really exercised the situation under test. */
public enum Occurrence {
    READ_AT_ALL_CONTROLLERS,
    MACHINE_HANG,
    CANCELLED_AT_COMPLETION,
    TASK_COMPLETED,
    /** A copy of a heartbeat was sent in the same term as the heartbeat. */
    HEARTBEAT_DUPLICATED,
    HEARTBEAT_DUPLICATED_FOR_NEXT_LEADER,
    HEARTBEAT_DUPLICATED_IN_LATER_TERM,
    CANCELLATION_CONFIRMED,
    CANCELLED_WITHOUT_LEADER,
    /** A cancellation was confirmed while the state store refused only the leader's requests. */
    CANCELLED_WHILE_LEADER_REFUSED,
    INVALID_SUBMISSION_REFUSED,
    /** A submission that must not be accepted got an answer that neither accepts nor rejects it. */
    INVALID_SUBMISSION_UNDECIDED,
    /** A transaction was applied although its sender got no answer. */
    WRITE_APPLIED_WITHOUT_ANSWER,
    PACKET_DELAYED,
    READ_AT_ELECTION,
    READ_AT_OUTAGE_END,
    /** A worker carried out a start order under the fencing token of an earlier term. */
    ORDER_OF_FORMER_LEADER,
    STALE_ANSWER_DROPPED,
    CANCELLED_JUST_BEFORE_LEADER_REFUSED,
    CANCELLED_JUST_AFTER_LEADER_REFUSED,
    CANCELLED_WITH_ALL_TEAMS_AT_LIMIT,
    /** A controller learned late that it had been elected. */
    ELECTION_ANSWERED_LATE,
    /** The leader crashed after one transaction and before its next. */
    LEADER_CRASHED_AFTER_WRITE;

    /** The occurrence with this name in scenario files: the constant's name in lower case with hyphens. */
    public static Optional<Occurrence> ofScenarioWord(String word) {
        return Arrays.stream(values())
                .filter(occurrence -> occurrence.scenarioWord().equals(word))
                .findFirst();
    }

    private String scenarioWord() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}

package notchpick.simulation;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Something that a scenario may have to bring about before what it shows means anything; counted by occurrence. */
public enum Occurrence {
    READ_AT_ALL_CONTROLLERS,
    MACHINE_HANG,
    CANCELLED_AT_COMPLETION,
    TASK_COMPLETED,
    /** A copy of a heartbeat arrived in the term in which the heartbeat was sent. */
    HEARTBEAT_DUPLICATED,
    HEARTBEAT_DUPLICATED_FOR_NEXT_LEADER,
    HEARTBEAT_DUPLICATED_IN_LATER_TERM,
    CANCELLATION_CONFIRMED,
    CANCELLED_WITHOUT_LEADER,
    /** A cancellation was confirmed while the state store refused the leader alone. */
    CANCELLED_WHILE_LEADER_REFUSED,
    INVALID_SUBMISSION_REFUSED,
    /** A submission that must not be accepted got an answer that does not decide it. */
    INVALID_SUBMISSION_UNDECIDED,
    /** A transaction was carried out of which the sender got no answer. */
    WRITE_APPLIED_WITHOUT_ANSWER,
    PACKET_DELAYED,
    READ_AT_ELECTION,
    READ_AT_OUTAGE_END,
    /** A worker carried out a start that was ordered under the fencing token of an earlier term. */
    ORDER_OF_FORMER_LEADER,
    STALE_ANSWER_DROPPED,
    CANCELLED_JUST_BEFORE_LEADER_REFUSED,
    CANCELLED_JUST_AFTER_LEADER_REFUSED,
    CANCELLED_WITH_ALL_TEAMS_AT_LIMIT;

    /** The occurrence of this name in lower case, with hyphens, as scenario files write it. */
    public static Optional<Occurrence> ofScenarioWord(String word) {
        return Arrays.stream(values())
                .filter(occurrence -> occurrence.scenarioWord().equals(word))
                .findFirst();
    }

    private String scenarioWord() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}

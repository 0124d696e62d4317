package notchpick.simulation;

import java.util.Arrays;
import java.util.Optional;

/** Something that a scenario may have to bring about before what it shows means anything; counted by occurrence. */
public enum Occurrence {
    READ_AT_ALL_CONTROLLERS("looks"),
    MACHINE_HANG("hangs"),
    CANCELLED_AT_COMPLETION("cancelled-at-end"),
    TASK_COMPLETED("ends"),
    /** A copy of a heartbeat arrived in the term in which the heartbeat was sent. */
    HEARTBEAT_DUPLICATED("copies"),
    HEARTBEAT_DUPLICATED_FOR_NEXT_LEADER("copies-for-next"),
    HEARTBEAT_DUPLICATED_IN_LATER_TERM("copies-in-later-term"),
    CANCELLATION_CONFIRMED("cancellations"),
    CANCELLED_WITHOUT_LEADER("cancelled-while-nobody-led"),
    /** A cancellation was confirmed while the state service refused the leader alone. */
    CANCELLED_WHILE_LEADER_REFUSED("cancelled-while-the-leader-was-refused"),
    INVALID_SUBMISSION_REFUSED("refused-submissions"),
    /** A submission that must not be accepted got an answer that does not decide it. */
    INVALID_SUBMISSION_UNDECIDED("untold-submissions"),
    /** A transaction was carried out of which the sender got no answer. */
    WRITE_APPLIED_WITHOUT_ANSWER("unanswered-writes"),
    PACKET_DELAYED("slow-packets"),
    READ_AT_ELECTION("looks-at-an-election"),
    READ_AT_OUTAGE_END("looks-at-an-outage-end"),
    /** A worker carried out a start that was ordered under the fencing token of an earlier term. */
    ORDER_OF_FORMER_LEADER("orders-of-the-deposed"),
    STALE_ANSWER_DROPPED("old-answers-dropped"),
    CANCELLED_JUST_BEFORE_LEADER_REFUSED("cancelled-just-before-the-refusal"),
    CANCELLED_JUST_AFTER_LEADER_REFUSED("cancelled-just-after-the-refusal"),
    CANCELLED_WITH_ALL_TEAMS_AT_LIMIT("cancelled-with-every-team-at-its-limit");

    private final String scenarioWord;

    Occurrence(String scenarioWord) {
        this.scenarioWord = scenarioWord;
    }

    /** The occurrence that scenario files call by this word. */
    public static Optional<Occurrence> ofScenarioWord(String word) {
        return Arrays.stream(values())
                .filter(occurrence -> occurrence.scenarioWord.equals(word))
                .findFirst();
    }
}

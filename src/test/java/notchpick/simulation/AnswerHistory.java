package notchpick.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The answers that users have got about jobs, in the order in which they arrived. */
final class AnswerHistory {
    /** A job's state in an answer, and when the user received it. */
    private record Answer(String state, long receivedAtMs) {}

    private final Map<String, List<Answer>> answers = new HashMap<>();

    void add(String job, String state, long nowMs) {
        answers.computeIfAbsent(job, j -> new ArrayList<>()).add(new Answer(state, nowMs));
    }

    boolean hasAnswerAbout(String job) {
        return answers.containsKey(job);
    }

    /** The first final state in answers received by this time, else the latest state; null if there was no answer. */
    String latestStateAt(String job, long timeMs) {
        String latest = null;
        for (Answer answer : answers.getOrDefault(job, List.of())) {
            if (answer.receivedAtMs() <= timeMs && !InvariantChecker.isFinal(latest)) {
                latest = answer.state();
            }
        }
        return latest;
    }
}

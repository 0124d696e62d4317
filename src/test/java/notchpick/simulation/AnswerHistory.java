package notchpick.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What users have been answered about jobs, and when. */
final class AnswerHistory {
    /** A job's state in an answer, and when a user got it. */
    private record Answer(String state, long receivedAtMs) {}

    private final Map<String, List<Answer>> answers = new HashMap<>();

    void add(String job, String state, long nowMs) {
        answers.computeIfAbsent(job, j -> new ArrayList<>()).add(new Answer(state, nowMs));
    }

    boolean hasAnswerAbout(String job) {
        return answers.containsKey(job);
    }

    /** The state that some user knew by then: the final one if there was any, else the latest; null: none. */
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

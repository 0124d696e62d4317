package notchpick.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What users have been answered about jobs, and when. */
final class AnswerHistory {
    /** A job's state in an answer, and when a user got it. */
    private record Answer(String state, long receivedAt) {}

    private final Map<String, List<Answer>> answers = new HashMap<>();

    void add(String job, String state, long now) {
        answers.computeIfAbsent(job, j -> new ArrayList<>()).add(new Answer(state, now));
    }

    boolean hasAnswerAbout(String job) {
        return answers.containsKey(job);
    }

    /** The state that some user knew by then: the final one if there was any, else the latest; null: none. */
    String stateKnownAt(String job, long time) {
        String furthest = null;
        for (Answer answer : answers.getOrDefault(job, List.of())) {
            if (answer.receivedAt() <= time && !InvariantChecker.isFinal(furthest)) {
                furthest = answer.state();
            }
        }
        return furthest;
    }
}

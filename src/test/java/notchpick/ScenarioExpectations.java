package notchpick;

import static java.util.Map.entry;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;
import notchpick.simulation.SimulatedCluster;
import notchpick.simulation.SimulatedWorker;

/** What a scenario expects to have come about. */
final class ScenarioExpectations {
    private static final List<String> STATES = List.of("queued", "running", "done", "cancelled");

    /** Figures that a scenario bounds by {@code at-most} or {@code at-least}; times in seconds. */
    private static final Map<String, ToDoubleFunction<SimulatedCluster>> FIGURES = Map.ofEntries(
            entry("starts-after-cancel", cluster -> cluster.rules().startsAfterCancel()),
            entry("gone-after-cancel", cluster -> cluster.rules().longestAfterCancelMs() / 1000.0),
            entry("order-after-cancel", cluster -> cluster.rules().longestOrderAfterCancelMs() / 1000.0),
            entry("lost-starts", SimulatedCluster::lostStarts),
            entry("killed-by-lease", cluster -> cluster.rules().killedByLease()),
            entry("pause", cluster -> cluster.rules().longestPauseMs() / 1000.0),
            entry(
                    "running",
                    cluster -> cluster.workers().stream()
                            .mapToInt(SimulatedWorker::live)
                            .sum()),
            entry("machines", cluster -> cluster.cloud().machines().size()),
            entry("starts", cluster -> cluster.rules().starts()),
            entry("rented", cluster -> cluster.cloud().rented()),
            entry("over-requests", cluster -> cluster.state().overRequests()),
            entry("writes", cluster -> cluster.state().writes()),
            entry("turned-away", SimulatedCluster::turnedAway),
            entry("over-rate", cluster -> cluster.state().overRate()));

    /** Figures that a scenario gives exactly. */
    private static final Map<String, ToIntFunction<SimulatedCluster>> COUNTS = Map.of(
            "untold", SimulatedCluster::untold,
            "malformed", cluster -> cluster.state().malformed(),
            "term", SimulatedCluster::term);

    private ScenarioExpectations() {}

    /** Fails where the expectation on this line does not hold. */
    static void check(SimulatedCluster cluster, String[] words) {
        String where = String.join(" ", words);
        String what = words[3];
        if (FIGURES.containsKey(what)) {
            compare(where, FIGURES.get(what).applyAsDouble(cluster), words[4], words[5]);
        } else if (COUNTS.containsKey(what)) {
            assertEquals(Integer.parseInt(words[4]), COUNTS.get(what).applyAsInt(cluster), where);
        } else {
            switch (what) {
                case "met" -> met(cluster, where, words);
                case "storm-answers" ->
                    compare(where, cluster.stormAnswers(Integer.parseInt(words[4])), words[5], words[6]);
                case "served" -> assertEquals(List.of(), cluster.rules().underserved(), where);
                case "leader" -> leader(cluster, where, words);
                case "status" -> assertEquals(Integer.parseInt(words[5]), cluster.lastStatus(words[4]), where);
                default -> told(cluster, where, words);
            }
        }
    }

    private static void compare(String where, double figure, String bound, String limit) {
        double number = Double.parseDouble(limit);
        boolean holds = switch (bound) {
            case "at-most" -> figure <= number;
            case "at-least" -> figure >= number;
            default -> throw new IllegalArgumentException("neither at-most nor at-least: " + bound);
        };
        assertTrue(holds, () -> where + ": " + figure);
    }

    private static void met(SimulatedCluster cluster, String where, String[] words) {
        if (!SimulatedCluster.MEETINGS.contains(words[4])) {
            throw new IllegalArgumentException("nothing is counted as " + words[4]);
        }
        compare(where, cluster.met(words[4]), words[5], words[6]);
    }

    private static void leader(SimulatedCluster cluster, String where, String[] words) {
        switch (words[4]) {
            case "none" -> assertEquals(null, cluster.leader(), where);
            case "not" -> {
                assertTrue(cluster.leader() != null, where);
                assertNotEquals(cluster.named(words[5]), cluster.leader(), where);
            }
            default -> assertTrue(cluster.leader() != null, where);
        }
    }

    private static void told(SimulatedCluster cluster, String where, String[] words) {
        if (!cluster.knows(words[3])) {
            throw new IllegalArgumentException("no line before submits " + words[3]);
        }
        if (!STATES.contains(words[4])) {
            throw new IllegalArgumentException("no job is ever told to be " + words[4]);
        }
        assertEquals(words[4], cluster.told(words[3]), where);
    }
}

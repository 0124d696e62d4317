package notchpick;

import static java.util.Map.entry;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;
import notchpick.simulation.Occurrence;
import notchpick.simulation.SimulatedCluster;

/** The verb {@code expect} of scenarios, which checks the cluster at the time of the step. */
final class ScenarioExpectations {
    private static final List<String> JOB_STATES = List.of("queued", "running", "done", "cancelled");

    /** Figures that a scenario bounds by {@code at-most} or {@code at-least}; times in seconds. */
    private static final Map<String, ToDoubleFunction<SimulatedCluster>> BOUNDED_FIGURES = Map.ofEntries(
            entry("starts-after-cancel", cluster -> cluster.invariants().startsAfterCancel()),
            entry("longest-run-after-cancel", cluster -> cluster.invariants().longestRunAfterCancelMs() / 1000.0),
            entry(
                    "longest-start-order-after-cancel",
                    cluster -> cluster.invariants().longestStartOrderAfterCancelMs() / 1000.0),
            entry("lost-start-orders", SimulatedCluster::lostStartOrders),
            entry("killed-by-lease-expiry", cluster -> cluster.invariants().tasksKilledByLeaseExpiry()),
            entry("longest-pause", cluster -> cluster.invariants().longestPauseMs() / 1000.0),
            entry(
                    "running-tasks",
                    cluster -> cluster.fleet().workers().stream()
                            .mapToInt(worker -> worker.tasks().size())
                            .sum()),
            entry("machines", cluster -> cluster.cloud().machineCount()),
            entry("starts", cluster -> cluster.invariants().starts()),
            entry("rented-machines", cluster -> cluster.cloud().rentedCount()),
            entry("requests-over-rate", cluster -> cluster.stateStore().requestsOverRate()),
            entry("writes", cluster -> cluster.stateStore().writes()),
            entry("deferred-submissions", cluster -> cluster.users().deferredSubmissions()),
            entry("transactions-over-rate", cluster -> cluster.stateStore().transactionsOverRate()));

    /** Figures for which a scenario gives the exact value. */
    private static final Map<String, ToIntFunction<SimulatedCluster>> EXACT_FIGURES = Map.of(
            "deferred-without-retry-after", cluster -> cluster.users().deferredWithoutRetryAfter(),
            "transactions-too-large", cluster -> cluster.stateStore().transactionsTooLarge(),
            "term", cluster -> cluster.controllers().term());

    private ScenarioExpectations() {}

    /** Fails if the expectation on this line is not met. */
    static void check(SimulatedCluster cluster, ScenarioStep step) {
        String what = step.argument(0);
        if (BOUNDED_FIGURES.containsKey(what)) {
            assertWithinBound(step, 1, BOUNDED_FIGURES.get(what).applyAsDouble(cluster));
        } else if (EXACT_FIGURES.containsKey(what)) {
            assertEquals(step.intArgument(1), EXACT_FIGURES.get(what).applyAsInt(cluster), step.text());
        } else {
            switch (what) {
                case "occurred" -> checkOccurrence(cluster, step);
                case "poll-burst-answers" ->
                    assertWithinBound(step, 2, cluster.users().pollBurstAnswers(step.intArgument(1)));
                case "served" -> assertEquals(List.of(), cluster.invariants().underserved(), step.text());
                case "leader" -> checkLeader(cluster, step);
                case "http-status" ->
                    assertEquals(step.intArgument(2), cluster.users().lastHttpStatus(step.argument(1)), step.text());
                default -> checkJobState(cluster, step);
            }
        }
    }

    /** @param index the index of the argument {@code at-most} or {@code at-least}; the bound is the next argument */
    private static void assertWithinBound(ScenarioStep step, int index, double figure) {
        String comparison = step.argument(index);
        double bound = step.doubleArgument(index + 1);
        boolean isWithin = switch (comparison) {
            case "at-most" -> figure <= bound;
            case "at-least" -> figure >= bound;
            default -> throw new IllegalArgumentException("neither at-most nor at-least: " + comparison);
        };
        assertTrue(isWithin, () -> step.text() + ": " + figure);
    }

    private static void checkOccurrence(SimulatedCluster cluster, ScenarioStep step) {
        Occurrence occurrence = Occurrence.ofScenarioWord(step.argument(1))
                .orElseThrow(() -> new IllegalArgumentException("unknown occurrence " + step.argument(1)));
        assertWithinBound(step, 2, cluster.occurrences().count(occurrence));
    }

    private static void checkLeader(SimulatedCluster cluster, ScenarioStep step) {
        Optional<String> leader = cluster.controllers().leader();
        switch (step.argument(1)) {
            case "none" -> assertEquals(Optional.empty(), leader, step.text());
            case "not" -> {
                assertTrue(leader.isPresent(), step.text());
                assertNotEquals(cluster.controllers().resolveAlias(step.argument(2)), leader.get(), step.text());
            }
            default -> assertTrue(leader.isPresent(), step.text());
        }
    }

    private static void checkJobState(SimulatedCluster cluster, ScenarioStep step) {
        String job = step.argument(0);
        String expectedState = step.argument(1);
        if (!cluster.users().hasSubmitted(job)) {
            throw new IllegalArgumentException("no line before submits " + job);
        }
        if (!JOB_STATES.contains(expectedState)) {
            throw new IllegalArgumentException("unknown job state " + expectedState);
        }
        assertEquals(expectedState, cluster.users().lastState(job), step.text());
    }
}

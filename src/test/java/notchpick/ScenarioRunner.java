package notchpick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import notchpick.simulation.InvariantChecker;
import notchpick.simulation.SimulatedCluster;
import notchpick.simulation.Transcript;

/**
 * Plays scenarios. A line is {@code at SECONDS VERB ARGUMENTS...}; lines without a time describe the deployment, which
 * starts when all lines have been read.
 */
final class ScenarioRunner {
    private ScenarioRunner() {}

    /** Reads or plays a line of a scenario, which may be wrong. */
    private interface LineAction {
        void run() throws Exception;
    }

    /** Reports a mistake in a scenario with its file, its line and one sentence. */
    private static void locateErrors(String name, int line, String text, LineAction action) throws Exception {
        String where = name + ":" + line + ": ";
        try {
            action.run();
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(where + "not a number in: " + text, e);
        } catch (IndexOutOfBoundsException e) {
            throw new IllegalArgumentException(where + "a value is missing: " + text, e);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(where + e.getMessage(), e);
        }
    }

    /** Plays one scenario and checks that no rule was broken. */
    static void play(String name, List<String> lines) throws Exception {
        try (Transcript transcript = Transcript.open(name)) {
            play(name, lines, transcript);
        }
    }

    private static void play(String name, List<String> lines, Transcript transcript) throws Exception {
        List<ScenarioStep> steps = new ArrayList<>();
        SimulatedCluster cluster = read(name, lines, steps);
        cluster.record(transcript);
        for (ScenarioStep step : steps) {
            cluster.time().runUntil((long) (step.atS() * 1000));
            locateErrors(name, step.line(), step.text(), () -> ScenarioVerbs.play(cluster, step));
        }
        InvariantChecker invariants = cluster.invariants();
        assertEquals(List.of(), invariants.violations());
        assertTrue(invariants.starts() > 0, "nothing_ran");
        // Orders travel in answers to heartbeats alone: none can be held up for longer than its receiver waits.
        assertEquals(0, cluster.directCommands(), "direct commands");
        System.out.printf(
                "%s: gone %.1f s and ordered %.1f s after a cancellation at the latest, %d orders and %d starts after one%n",
                name,
                invariants.longestRunAfterCancelMs() / 1000.0,
                invariants.longestStartOrderAfterCancelMs() / 1000.0,
                invariants.startOrdersAfterCancel(),
                invariants.startsAfterCancel());
    }

    /** Starts the deployment that the lines without a time describe, and sorts the others by time. */
    private static SimulatedCluster read(String name, List<String> lines, List<ScenarioStep> steps) throws Exception {
        ScenarioDeployment description = new ScenarioDeployment();
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i);
            int number = i + 1;
            locateErrors(name, number, line, () -> description.read(line.strip().split("\\s+"), number, steps));
        }
        steps.sort(Comparator.comparingDouble(ScenarioStep::atS));
        return description.start();
    }
}

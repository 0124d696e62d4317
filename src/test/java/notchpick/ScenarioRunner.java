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
 * Plays scenarios. A step is a line {@code at SECONDS VERB ARGUMENTS...}; lines without a time describe the deployment,
 * which starts when all lines have been read.
 */
final class ScenarioRunner {
    private ScenarioRunner() {}

    /** Reads or plays one line of a scenario; fails if the line has a mistake. */
    private interface LineAction {
        void run() throws Exception;
    }

    /** Runs the action and reports a mistake in the scenario with its file and line. */
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

    /** Plays one scenario and checks that all invariants held. */
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
        assertTrue(invariants.starts() > 0, "no task was started");
        // Orders are sent only in answers to heartbeats, so no order is delayed for longer than its receiver waits.
        assertEquals(0, cluster.directCommands(), "direct commands");
        System.out.printf(
                "%s: after cancellations, longest run %.1f s and start order %.1f s, %d start orders, %d starts%n",
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

package notchpick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import notchpick.simulation.SimulatedCluster;
import notchpick.simulation.Transcript;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays every scenario under src/test/resources/scenarios. A line is {@code at SECONDS VERB WORDS...};
 * first come lines without a time that describe the deployment. See the README.
 */
@Execution(ExecutionMode.CONCURRENT)
class ScenarioTest {
    /** The scenario files, in order of their names. */
    static Stream<Path> scenarios() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("src/test/resources/scenarios"))) {
            // -Dscenario=WORD plays only those with this word in their names.
            return files
                    .filter(file -> file.toString().endsWith(".txt"))
                    .filter(file -> file.getFileName().toString().contains(System.getProperty("scenario", "")))
                    .sorted()
                    .toList()
                    .stream();
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("scenarios")
    void plays(Path file) throws Exception {
        play(file.getFileName().toString(), Files.readAllLines(file));
    }

    /** Something to be done that may find a line of a scenario to be wrong. */
    private interface Reading {
        void run() throws Exception;
    }

    /** What a scenario's author got wrong is told by file, line and one sentence. */
    private static void reading(String name, int line, String text, Reading work) throws Exception {
        String where = name + ":" + line + ": ";
        try {
            work.run();
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
            cluster.simulation().runUntil((long) (step.atS() * 1000));
            reading(name, step.line(), String.join(" ", step.words()), () -> ScenarioVerbs.play(cluster, step.words()));
        }
        assertEquals(List.of(), cluster.rules().breaches());
        assertTrue(cluster.rules().starts() > 0, "nothing_ran");
        // All orders ride in answers to reports: none can be held up for longer than a report's sender waits.
        assertEquals(0, cluster.directCommands(), "direct commands");
        System.out.printf(
                "%s: gone %.1f s and ordered %.1f s after a cancellation at the latest, %d orders and %d starts after one%n",
                name,
                cluster.rules().longestAfterCancelMs() / 1000.0,
                cluster.rules().longestOrderAfterCancelMs() / 1000.0,
                cluster.rules().ordersAfterCancel(),
                cluster.rules().startsAfterCancel());
    }

    /** The deployment that the lines without a time describe; the others are put into order. */
    private static SimulatedCluster read(String name, List<String> lines, List<ScenarioStep> steps) throws Exception {
        ScenarioDeployment description = new ScenarioDeployment();
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i);
            int number = i + 1;
            reading(name, number, line, () -> description.read(line.strip().split("\\s+"), number, steps));
        }
        steps.sort(Comparator.comparingDouble(ScenarioStep::atS));
        return description.start();
    }
}

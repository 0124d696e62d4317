package notchpick;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Plays every scenario under src/test/resources/scenarios; the README describes their language. */
@Execution(ExecutionMode.CONCURRENT)
class ScenarioTest {
    /** The scenario files, in order of their names. */
    static Stream<Path> scenarios() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("src/test/resources/scenarios"))) {
            // -Dscenario=WORD plays only the scenarios whose file names contain this word.
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
    void passes(Path file) throws Exception {
        ScenarioRunner.play(file.getFileName().toString(), Files.readAllLines(file));
    }
}

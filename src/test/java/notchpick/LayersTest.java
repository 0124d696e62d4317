package notchpick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The layers hold: who may know of whom, and where the users' words stop. */
class LayersTest {
    private static final Path SOURCES = Path.of("src/main/java/notchpick");
    private static final Map<String, List<String>> MAY_KNOW = Map.of(
            "transport", List.of(),
            "scheduling", List.of(),
            "protocol", List.of("transport", "scheduling"),
            "bookkeeping", List.of("transport", "scheduling", "protocol"),
            "coordination", List.of("transport", "scheduling", "protocol", "bookkeeping"));
    private static final Pattern IMPORT = Pattern.compile("import (?:static )?notchpick\\.(\\w+)\\.");
    private static final Pattern WIRE_WORD = Pattern.compile(
            "\"(ref|workclass|ownerDesk|jobForm|urgency|pieces?|boxKinds?|borrowed|bundle|mandate|tryNo|orderKind"
                    + "|hireSlip|waitsOn|entryNo|ledgerNo|permit|recallS|exitCause|foreman)\"");

    private static List<Path> sources(String layer) throws IOException {
        try (Stream<Path> files = Files.list(SOURCES.resolve(layer))) {
            return files.toList();
        }
    }

    @Test
    void eachLayerKnowsOnlyThoseBelow() throws IOException {
        for (Map.Entry<String, List<String>> layer : MAY_KNOW.entrySet()) {
            for (Path file : sources(layer.getKey())) {
                Matcher matcher = IMPORT.matcher(Files.readString(file));
                while (matcher.find()) {
                    String known = matcher.group(1);
                    assertTrue(known.equals(layer.getKey()) || layer.getValue().contains(known),
                            file + " knows " + known);
                }
            }
        }
    }

    @Test
    void schedulingDoesNoInputOrOutputAndHasNoClock() throws IOException {
        Pattern outside = Pattern.compile(
                "import java\\.(io|net|nio|time)|System\\.|Thread|new Random\\(\\)|org\\.slf4j|com\\.fasterxml");
        for (Path file : sources("scheduling")) {
            assertTrue(!outside.matcher(Files.readString(file)).find(), file.toString());
        }
    }

    @Test
    void theUsersWordsStayInProtocol() throws IOException {
        for (String layer : List.of("transport", "scheduling", "bookkeeping", "coordination", "app")) {
            for (Path file : sources(layer)) {
                Matcher matcher = WIRE_WORD.matcher(Files.readString(file));
                assertEquals(false, matcher.find(), () -> file + ": " + matcher.group());
            }
        }
    }
}

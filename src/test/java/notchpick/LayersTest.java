package notchpick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The layers of the sources: which packages may depend on which, and where names on the wire may occur. */
class LayersTest {
    private static final Path SOURCES = Path.of("src/main/java/notchpick");
    private static final List<String> BELOW_COORDINATION =
            List.of("transport", "scheduling", "model", "protocol", "storage");
    /** Each layer and the layers it may depend on; packages below a layer are layers of their own. */
    private static final Map<String, List<String>> ALLOWED_DEPENDENCIES = Map.ofEntries(
            Map.entry("transport", List.of()),
            Map.entry("scheduling", List.of()),
            Map.entry("protocol", List.of("transport", "scheduling")),
            Map.entry("model", List.of("transport", "scheduling")),
            Map.entry("storage", List.of("transport", "scheduling", "protocol", "model")),
            Map.entry("coordination", BELOW_COORDINATION),
            Map.entry("coordination.membership", above("coordination")),
            Map.entry("coordination.userapi", above("coordination", "coordination.membership")),
            Map.entry("coordination.leader.term", above("coordination")),
            Map.entry("coordination.leader.heartbeat", above("coordination", "coordination.leader.term")),
            Map.entry("coordination.leader.jobs", above("coordination", "coordination.leader.term")),
            Map.entry("coordination.leader.scaling", above("coordination", "coordination.leader.term")),
            Map.entry(
                    "coordination.leader.allocation",
                    above("coordination", "coordination.membership", "coordination.leader.term")),
            Map.entry(
                    "coordination.leader",
                    above(
                            "coordination",
                            "coordination.membership",
                            "coordination.leader.term",
                            "coordination.leader.heartbeat",
                            "coordination.leader.jobs",
                            "coordination.leader.scaling",
                            "coordination.leader.allocation")));

    private static final Pattern IMPORT = Pattern.compile("import (?:static )?notchpick\\.([a-z.]+)\\.");
    private static final Pattern WIRE_NAME = Pattern.compile(
            "\"(ref|workclass|ownerDesk|jobForm|urgency|pieces?|boxKinds?|borrowed|bundle|mandate|tryNo|orderKind"
                    + "|hireSlip|waitsOn|entryNo|ledgerNo|permit|recallS|exitCause|foreman)\"");

    private static List<String> above(String... coordination) {
        return Stream.concat(BELOW_COORDINATION.stream(), Stream.of(coordination))
                .toList();
    }

    private static List<Path> sources(String layer) throws IOException {
        try (Stream<Path> files = Files.list(SOURCES.resolve(layer.replace('.', '/')))) {
            return files.filter(Files::isRegularFile).toList();
        }
    }

    /** The layer of a package: subpackages of coordination are layers of their own, other subpackages are not. */
    private static String layerOf(String name) {
        return ALLOWED_DEPENDENCIES.containsKey(name) ? name : name.split("\\.", 2)[0];
    }

    @Test
    void everyPackageBelongsToALayer() throws IOException {
        try (Stream<Path> folders = Files.walk(SOURCES)) {
            List<String> unknown = folders.filter(Files::isDirectory)
                    .map(folder -> SOURCES.relativize(folder).toString())
                    .filter(name -> !name.isEmpty() && !name.equals("app"))
                    .map(name -> name.replace('/', '.'))
                    .filter(name -> !ALLOWED_DEPENDENCIES.containsKey(name))
                    .toList();
            assertEquals(List.of(), unknown);
        }
    }

    @Test
    void layersDependOnlyOnLayersBelow() throws IOException {
        for (Map.Entry<String, List<String>> layer : ALLOWED_DEPENDENCIES.entrySet()) {
            for (Path file : sources(layer.getKey())) {
                Matcher matcher = IMPORT.matcher(Files.readString(file));
                while (matcher.find()) {
                    String dependency = layerOf(matcher.group(1));
                    assertTrue(
                            dependency.equals(layer.getKey())
                                    || layer.getValue().contains(dependency),
                            file + " depends on " + dependency);
                }
            }
        }
    }

    /**
     * The health of links and peers is an estimate, and may only decide which controller to contact. Decisions that
     * release a task, a machine or a term must rest on durable facts. Of the leader's classes, only those that decide
     * when to step down and to whom resources are leased may depend on membership, besides the two classes that pass
     * its objects on to them.
     */
    @Test
    void linkHealthDoesNotDecideWhatIsReleased() throws IOException {
        List<String> dependents = new ArrayList<>();
        for (String layer : ALLOWED_DEPENDENCIES.keySet()) {
            if (!layer.startsWith("coordination.leader")
                    && !List.of("model", "storage").contains(layer)) {
                continue;
            }
            for (Path file : sources(layer)) {
                if (Files.readString(file).contains("notchpick.coordination.membership.")) {
                    dependents.add(file.getFileName().toString());
                }
            }
        }
        dependents.sort(null);
        assertEquals(
                List.of("Leader.java", "LeaderEnvironment.java", "ResourceLeases.java", "StepDownPolicy.java"),
                dependents);
    }

    @Test
    void schedulingIsPure() throws IOException {
        Pattern outside = Pattern.compile(
                "import java\\.(io|net|nio|time)|System\\.|Thread|new Random\\(\\)|org\\.slf4j|com\\.fasterxml");
        for (Path file : sources("scheduling")) {
            assertTrue(!outside.matcher(Files.readString(file)).find(), file.toString());
        }
    }

    @Test
    void wireNamesOccurOnlyInProtocol() throws IOException {
        List<String> layers = new ArrayList<>(ALLOWED_DEPENDENCIES.keySet());
        layers.remove("protocol");
        layers.add("app");
        for (String layer : layers) {
            for (Path file : sources(layer)) {
                Matcher matcher = WIRE_NAME.matcher(Files.readString(file));
                assertEquals(false, matcher.find(), () -> file + ": " + matcher.group());
            }
        }
    }
}

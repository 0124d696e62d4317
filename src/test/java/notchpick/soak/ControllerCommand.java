package notchpick.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The command that runs a controller: the run line of the deploy file, with the classes that are being tested. */
final class ControllerCommand {
    private static final Path DEPLOY_FILE = Path.of("deploy", "service.toml");
    private static final String RUN_KEY = "run = ";
    private static final String MAIN_CLASS = "notchpick.app.Main";

    private ControllerCommand() {}

    /** The command without the path of the settings file. */
    static List<String> read() throws IOException {
        String line = Files.readAllLines(DEPLOY_FILE).stream()
                .filter(text -> text.startsWith(RUN_KEY))
                .findFirst()
                .orElseThrow(() -> new IOException("no run line in " + DEPLOY_FILE));
        String[] words =
                line.substring(RUN_KEY.length()).replace("\"", "").strip().split(" ", -1);
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        for (int i = 1; i < words.length; i++) {
            if (words[i].equals("-jar")) {
                command.addAll(List.of("-cp", System.getProperty("java.class.path"), MAIN_CLASS));
                i++;
            } else if (!words[i].startsWith("-XX:SharedArchiveFile")) {
                // The archive belongs to the jar file, which these processes don't use.
                command.add(words[i]);
            }
        }
        return command;
    }
}

package notchpick.app;

import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import notchpick.coordination.Deployment;
import notchpick.coordination.Tuning;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;

/** The command line interface, which also starts the controller. */
@Command(
        name = "notchpick",
        mixinStandardHelpOptions = true,
        version = "notchpick 0.1.0",
        description = "Runs one controller of a cluster scheduler, until it is killed.",
        footer = {
            "",
            "If deployment.state.next announces other limits, the lower one of each pair applies from the start.",
            "Logs go to standard error; LOG_LEVEL is one of error, info (default), debug."
        })
public final class Main implements Callable<Integer> {
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_INVALID_SETTINGS = 2;
    /** Not an exit status: the process keeps running after the command has returned. */
    private static final int RUNNING = -1;

    @Option(
            names = "--config",
            required = true,
            scope = ScopeType.INHERIT,
            paramLabel = "FILE",
            description = "settings file of the platform (JSON)")
    private Path config;

    @Option(
            names = "--tuning",
            scope = ScopeType.INHERIT,
            paramLabel = "FILE",
            description = "settings file of the operators (JSON), optional")
    private Path tuning;

    /** Runs the command. Ends the process afterwards, unless the command has started a controller. */
    public static void main(String[] args) {
        String level = System.getenv().getOrDefault("LOG_LEVEL", "info").toLowerCase(Locale.ROOT);
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
        System.setProperty("org.slf4j.simpleLogger.log.org.eclipse.jetty", "error");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        int status = args.length == 2 && args[0].equals("--config")
                // The platform starts the process this way; picocli's parser would take a third of the start-up time.
                ? serve(Path.of(args[1]), null)
                : new CommandLine(new Main()).execute(args);
        if (status != RUNNING) {
            System.exit(status);
        }
    }

    @Override
    public Integer call() {
        return serve(config, tuning);
    }

    /** Validates both settings files. */
    @Command(
            description = "Validates the settings files and exits; status 2 if one is invalid.",
            mixinStandardHelpOptions = true)
    int check() {
        try {
            Settings.read(config);
            readTuning(tuning);
            return EXIT_OK;
        } catch (InvalidSettingsException e) {
            return invalidSettings(e);
        }
    }

    /** Prints the condition of the links of all controllers. */
    @Command(
            description = "Prints the condition of the links of all controllers of the deployment; status 1 "
                    + "if no controller answered.",
            mixinStandardHelpOptions = true)
    int status() throws Exception {
        Deployment deployment;
        try {
            deployment = Settings.read(config);
        } catch (InvalidSettingsException e) {
            return invalidSettings(e);
        }
        return LinkStatusCommand.run(deployment, System.out);
    }

    private static int serve(Path config, Path tuningFile) {
        Deployment deployment;
        Tuning tuning;
        try {
            deployment = Settings.read(config);
            tuning = readTuning(tuningFile);
        } catch (InvalidSettingsException e) {
            return invalidSettings(e);
        }
        try {
            ControllerServer.start(deployment, tuning);
        } catch (Exception e) {
            System.err.println("notchpick: can't start the controller: " + e.getMessage());
            return EXIT_FAILED;
        }
        return RUNNING;
    }

    private static Tuning readTuning(Path file) throws InvalidSettingsException {
        return file == null ? Tuning.DEFAULT : TuningFile.read(file);
    }

    private static int invalidSettings(InvalidSettingsException e) {
        System.err.println("notchpick: " + e.getMessage());
        return EXIT_INVALID_SETTINGS;
    }
}

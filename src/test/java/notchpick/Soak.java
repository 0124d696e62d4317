package notchpick;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import notchpick.SoakRun.Outcome;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command that runs the soak by hand; the README describes it. */
@Command(name = "soak", mixinStandardHelpOptions = true)
public final class Soak implements Callable<Integer> {
    private static final int USAGE_ERROR = 2;

    @Option(names = "--seed", description = "the first seed")
    private int firstSeed = 1;

    @Option(names = "--runs", description = "the number of seeds")
    private int runs = 1;

    @Option(names = "--length", description = "for how many seconds faults are injected")
    private int lengthS = 60;

    @Option(names = "--parallel", description = "how many seeds run at the same time")
    private int parallel = 1;

    /** Runs the soak; exits with 0 if all rules held, 1 if one was violated, and 2 after a bad option. */
    public static void main(String[] args) {
        System.setProperty("org.slf4j.simpleLogger.log.org.eclipse.jetty", "error");
        CommandLine commandLine = new CommandLine(new Soak());
        commandLine.setParameterExceptionHandler((e, arguments) -> {
            System.err.println("soak: " + e.getMessage());
            return USAGE_ERROR;
        });
        // Exit explicitly: the threads of the simulated servers would keep the process running.
        System.exit(commandLine.execute(args));
    }

    @Override
    public Integer call() throws Exception {
        if (firstSeed < 1 || runs < 1 || lengthS < 1 || parallel < 1) {
            System.err.println("soak: --seed, --runs, --length and --parallel must be at least 1");
            return USAGE_ERROR;
        }
        List<Outcome> failed = new ArrayList<>();
        for (Outcome outcome : run(firstSeed, runs, lengthS * 1000L, parallel)) {
            if (!outcome.violations().isEmpty()) {
                failed.add(outcome);
            }
        }
        System.out.printf("%d seeds, %d with a violation%n", runs, failed.size());
        return failed.isEmpty() ? 0 : 1;
    }

    /** Runs seeds, several at the same time, and prints the outcome of each. */
    static List<Outcome> run(int firstSeed, int runs, long lengthMs, int parallel) throws Exception {
        ExecutorService executor = Executors.newFixedThreadPool(parallel);
        try {
            List<Future<Outcome>> futures = new ArrayList<>();
            for (int i = 0; i < runs; i++) {
                SoakRun run = new SoakRun(firstSeed + i, lengthMs);
                futures.add(executor.submit(() -> {
                    Outcome outcome = runOrFail(run);
                    print(outcome);
                    return outcome;
                }));
            }
            List<Outcome> outcomes = new ArrayList<>();
            for (Future<Outcome> future : futures) {
                outcomes.add(future.get());
            }
            return outcomes;
        } finally {
            executor.shutdownNow();
        }
    }

    /** Runs the seed; an error of the soak itself counts as a violation, and other seeds go on. */
    private static Outcome runOrFail(SoakRun run) {
        try {
            return run.run();
        } catch (RuntimeException e) {
            StringWriter trace = new StringWriter();
            e.printStackTrace(new PrintWriter(trace));
            return new Outcome(run.seed(), List.of("error of the soak: " + trace), "", "");
        }
    }

    private static void print(Outcome outcome) {
        if (outcome.violations().isEmpty()) {
            System.out.printf("seed %d: held; %s%n", outcome.seed(), outcome.figures());
        } else {
            System.out.printf(
                    "seed %d: %d violations; %s%n%s%n%s%nlogs in target/soak/seed-%d%n",
                    outcome.seed(),
                    outcome.violations().size(),
                    outcome.figures(),
                    String.join("\n", outcome.violations()),
                    outcome.eventLog(),
                    outcome.seed());
        }
    }
}

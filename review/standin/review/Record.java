package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, with the time since the start in seconds. */
final class Record {
    private static final long START_NANOS = System.nanoTime();
    private static PrintWriter out;

    private Record() {}

    static synchronized void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    /** The steady clock, in milliseconds since the start. */
    static long nowMs() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    static synchronized void log(String format, Object... args) {
        String line = String.format(Locale.ROOT, "%8.3f ", nowMs() / 1000.0) + String.format(Locale.ROOT, format, args);
        out.println(line);
        out.flush();
    }

    /** Writes to the record and to standard output. */
    static void say(String format, Object... args) {
        log(format, args);
        System.out.println(String.format(Locale.ROOT, format, args));
    }
}

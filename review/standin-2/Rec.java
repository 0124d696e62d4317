package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to the record of a case; the time is in seconds since the start. */
final class Rec {
    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Rec() {}

    static synchronized void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static long ms() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static synchronized void log(String format, Object... args) {
        String line = String.format("%8.3f  %s", ms() / 1000.0, String.format(format, args));
        System.out.println(line);
        if (out != null) {
            out.println(line);
        }
    }
}

package notchpick.simulation;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.OutputStreamWriter;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.zip.GZIPOutputStream;
import notchpick.protocol.PeerProtocol;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;

/**
 * Records every message between hosts and every transaction that the state store applied, in wire format and with
 * simulated time. Two versions of the program that behave alike produce identical text.
 */
public final class Transcript implements AutoCloseable {
    /** A transcript that records nothing. */
    static final Transcript NONE = new Transcript(null);

    private final Writer out;

    private Transcript(Writer out) {
        this.out = out;
    }

    /** Opens a test's transcript in the directory set by {@code -Dtranscript=DIR}; records nothing if it is unset. */
    public static Transcript open(String test) {
        String folder = System.getProperty("transcript");
        if (folder == null) {
            return NONE;
        }
        try {
            Path file = Files.createDirectories(Path.of(folder)).resolve(test + ".gz");
            return new Transcript(new BufferedWriter(
                    new OutputStreamWriter(new GZIPOutputStream(Files.newOutputStream(file)), StandardCharsets.UTF_8)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Records that a host sends a call, whether or not it arrives. */
    void called(long nowMs, String from, Request call) {
        if (out != null) {
            write(nowMs + " " + from + " > " + call.target() + " " + call.method() + " " + call.path() + " "
                    + text(call.path(), call.body()));
        }
    }

    /** Records that a host answers a call, whether or not the answer arrives. */
    void answered(long nowMs, String from, String to, Request call, Response answer) {
        if (out != null) {
            write(nowMs + " " + from + " > " + to + " " + answer.status() + " " + text(call.path(), answer.body()));
        }
    }

    /** Records that the state store has applied a transaction. */
    void committed(long nowMs, long revision, String transaction) {
        if (out != null) {
            write(nowMs + " revision " + revision + " " + transaction);
        }
    }

    private static String text(String path, byte[] body) {
        if (body == null || body.length == 0) {
            return "";
        }
        return path.equals(PeerProtocol.PATH)
                ? String.valueOf(PeerProtocol.decode(body))
                : new String(body, StandardCharsets.UTF_8);
    }

    private void write(String line) {
        try {
            out.write(line);
            out.write('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        if (out != null) {
            try {
                out.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}

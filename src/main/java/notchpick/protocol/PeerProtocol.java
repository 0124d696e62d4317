package notchpick.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import notchpick.protocol.peer.Envelope;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;
import org.apache.avro.specific.SpecificDatumReader;
import org.apache.avro.specific.SpecificDatumWriter;

/** The controllers' own messages, in Avro's binary form. */
public final class PeerProtocol {
    public static final String PATH = "/peer";

    private PeerProtocol() {}

    /** Serializes a message between controllers. */
    public static byte[] bytes(Object body) {
        try {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            var encoder = EncoderFactory.get().directBinaryEncoder(out, null);
            new SpecificDatumWriter<>(Envelope.class).write(new Envelope(body), encoder);
            return out.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** What a passed call or its outcome carries; null if it carries nothing. */
    public static byte[] content(ByteBuffer buffer) {
        if (buffer == null) {
            return null;
        }
        byte[] content = new byte[buffer.remaining()];
        buffer.get(content);
        return content;
    }

    /** The message in these bytes, or null if they hold none. */
    public static Object body(byte[] bytes) {
        if (bytes.length == 0) {
            return null;
        }
        try {
            var decoder = DecoderFactory.get().binaryDecoder(bytes, null);
            return new SpecificDatumReader<>(Envelope.class).read(null, decoder).getBody();
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }
}

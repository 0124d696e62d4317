package notchpick.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import notchpick.protocol.peer.Envelope;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;
import org.apache.avro.specific.SpecificDatumReader;
import org.apache.avro.specific.SpecificDatumWriter;

/** Encodes and decodes the messages between controllers in Avro's binary encoding. */
public final class PeerProtocol {
    /** The path to which all messages are posted. */
    public static final String PATH = "/peer";

    private PeerProtocol() {}

    /** Encodes a message. */
    public static byte[] encode(Object body) {
        try {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            var encoder = EncoderFactory.get().directBinaryEncoder(out, null);
            new SpecificDatumWriter<>(Envelope.class).write(new Envelope(body), encoder);
            return out.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the content of a relayed request or of its outcome; null if there is none. */
    public static byte[] toBytes(ByteBuffer buffer) {
        if (buffer == null) {
            return null;
        }
        byte[] content = new byte[buffer.remaining()];
        buffer.get(content);
        return content;
    }

    /**
     * Decodes a message; returns null if the bytes are not a valid message, for example because a later version sent a
     * type that this one does not have. Callers dispatch by {@code instanceof}, which null never matches.
     */
    public static Object decode(byte[] bytes) {
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

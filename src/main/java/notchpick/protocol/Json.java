package notchpick.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Parses and serializes JSON trees. Thread-safe: the mapper is not reconfigured after its creation. */
public final class Json {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private static final String LIST_OF_STRINGS = "must be a list of strings";
    private static final int QUOTE_BYTES = 2;
    private static final int MAX_ESCAPE_BYTES = 6;
    private static final char LAST_PRINTABLE_ASCII = '~';

    private Json() {}

    /** Parses an object; returns null if the bytes are null or hold anything but one JSON object. */
    public static ObjectNode object(byte[] body) {
        if (body == null || body.length == 0) {
            return null;
        }
        try {
            return MAPPER.readTree(body) instanceof ObjectNode object ? object : null;
        } catch (IOException e) {
            return null;
        }
    }

    /** Creates an object without fields. */
    public static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** Serializes a value. */
    public static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns an upper bound of the bytes that a string takes when serialized, including its quotes. */
    public static int maxTextBytes(String text) {
        int bytes = QUOTE_BYTES;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            boolean isPlain = c >= ' ' && c <= LAST_PRINTABLE_ASCII && c != '"' && c != '\\';
            bytes += isPlain ? 1 : MAX_ESCAPE_BYTES;
        }
        return bytes;
    }

    /** Reads a non-empty string. */
    static String text(JsonNode object, String field) throws InvalidMessageException {
        JsonNode node = object.get(field);
        if (node == null || !node.isTextual() || node.textValue().isEmpty()) {
            throw new InvalidMessageException(field, node, "must be a non-empty string");
        }
        return node.textValue();
    }

    /** Reads a number between min and max, both inclusive. */
    static double number(JsonNode object, String field, double min, double max) throws InvalidMessageException {
        JsonNode node = object.get(field);
        if (node == null || !node.isNumber()) {
            throw new InvalidMessageException(field, node, "must be a number");
        }
        double value = node.doubleValue();
        if (!(value >= min && value <= max)) {
            throw new InvalidMessageException(
                    field, node, "must be between " + min + " and " + max + ", but is " + value);
        }
        return value;
    }

    /** Reads an integer between min and max, both inclusive. */
    static long integer(JsonNode object, String field, long min, long max) throws InvalidMessageException {
        JsonNode node = object.get(field);
        if (node == null || !node.isIntegralNumber() || !node.canConvertToLong()) {
            throw new InvalidMessageException(field, node, "must be an integer");
        }
        long value = node.longValue();
        if (value < min || value > max) {
            throw new InvalidMessageException(
                    field, node, "must be between " + min + " and " + max + ", but is " + value);
        }
        return value;
    }

    /** Reads a boolean. */
    static boolean bool(JsonNode object, String field) throws InvalidMessageException {
        JsonNode node = object.get(field);
        if (node == null || !node.isBoolean()) {
            throw new InvalidMessageException(field, node, "must be true or false");
        }
        return node.booleanValue();
    }

    /** Whether the field is missing or null. */
    static boolean isAbsent(JsonNode object, String field) {
        JsonNode node = object.get(field);
        return node == null || node.isNull();
    }

    /** Reads a list of strings, which may be empty; returns empty if the field is missing or null. */
    static Optional<List<String>> texts(JsonNode object, String field) throws InvalidMessageException {
        if (isAbsent(object, field)) {
            return Optional.empty();
        }
        JsonNode node = object.get(field);
        if (!node.isArray()) {
            throw new InvalidMessageException(field, node, LIST_OF_STRINGS);
        }
        List<String> texts = new ArrayList<>();
        for (JsonNode item : node) {
            if (!item.isTextual()) {
                throw new InvalidMessageException(field, node, LIST_OF_STRINGS);
            }
            texts.add(item.textValue());
        }
        return Optional.of(List.copyOf(texts));
    }
}

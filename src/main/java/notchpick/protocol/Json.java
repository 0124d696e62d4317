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

/** Reading and writing JSON trees; the mapper is immutable once made. */
public final class Json {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private static final String LIST_OF_NAMES = "must be a list of names";
    private static final int QUOTES_BYTES = 2;
    private static final int ESCAPE_BYTES = 6;
    private static final char LAST_PRINTABLE_ASCII = '~';

    private Json() {}

    /** The object in these bytes, or null if they hold anything else. */
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

    /** A new object without fields. */
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

    /** An upper bound of the bytes that a text takes, its quotes included. */
    public static int textBytes(String text) {
        int bytes = QUOTES_BYTES;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            boolean isPlain = c >= ' ' && c <= LAST_PRINTABLE_ASCII && c != '"' && c != '\\';
            bytes += isPlain ? 1 : ESCAPE_BYTES;
        }
        return bytes;
    }

    /** Reads a text that is not empty. */
    static String text(JsonNode object, String field) throws InvalidMessageException {
        JsonNode node = object.get(field);
        if (node == null || !node.isTextual() || node.textValue().isEmpty()) {
            throw new InvalidMessageException(field, node, "must be text");
        }
        return node.textValue();
    }

    /** Reads a decimal number within bounds. */
    static double number(JsonNode object, String field, double min, double max) throws InvalidMessageException {
        JsonNode node = object.get(field);
        if (node == null || !node.isNumber()) {
            throw new InvalidMessageException(field, node, "must be a number");
        }
        double value = node.doubleValue();
        if (!(value >= min && value <= max)) {
            throw new InvalidMessageException(field, node, "is out of range");
        }
        return value;
    }

    /** Reads an integer within bounds. */
    static long integer(JsonNode object, String field, long min, long max) throws InvalidMessageException {
        JsonNode node = object.get(field);
        if (node == null || !node.isIntegralNumber() || !node.canConvertToLong()) {
            throw new InvalidMessageException(field, node, "must be an integer");
        }
        long value = node.longValue();
        if (value < min || value > max) {
            throw new InvalidMessageException(field, node, "is out of range");
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

    /** Reads a list of texts, which may be empty; nothing if the field is absent. */
    static Optional<List<String>> texts(JsonNode object, String field) throws InvalidMessageException {
        if (isAbsent(object, field)) {
            return Optional.empty();
        }
        JsonNode node = object.get(field);
        if (!node.isArray()) {
            throw new InvalidMessageException(field, node, LIST_OF_NAMES);
        }
        List<String> texts = new ArrayList<>();
        for (JsonNode item : node) {
            if (!item.isTextual()) {
                throw new InvalidMessageException(field, node, LIST_OF_NAMES);
            }
            texts.add(item.textValue());
        }
        return Optional.of(List.copyOf(texts));
    }
}

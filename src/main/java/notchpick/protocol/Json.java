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

/** Reading and writing JSON trees; the mapper is immutable once made. */
public final class Json {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

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

    /** As many bytes as a text takes at the most, its quotes included. */
    public static int textBytes(String text) {
        int bytes = 2;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            // An escape takes six.
            bytes += c >= ' ' && c < 127 && c != '"' && c != '\\' ? 1 : 6;
        }
        return bytes;
    }

    /** A field that must be text. */
    static String text(JsonNode object, String field) throws InvalidMessageException {
        JsonNode node = object.get(field);
        if (node == null || !node.isTextual() || node.textValue().isEmpty()) {
            throw new InvalidMessageException(field + " must be text");
        }
        return node.textValue();
    }

    /** Reads a decimal number within bounds. */
    static double amount(JsonNode object, String field, double least, double most) throws InvalidMessageException {
        JsonNode node = object.get(field);
        if (node == null || !node.isNumber()) {
            throw new InvalidMessageException(field + " must be a number");
        }
        double value = node.doubleValue();
        if (!(value >= least && value <= most)) {
            throw new InvalidMessageException(field + " is out of range");
        }
        return value;
    }

    /** Reads an integer within bounds. */
    static long count(JsonNode object, String field, long least, long most) throws InvalidMessageException {
        JsonNode node = object.get(field);
        if (node == null || !node.isIntegralNumber() || !node.canConvertToLong()) {
            throw new InvalidMessageException(field + " must be an integer");
        }
        long value = node.longValue();
        if (value < least || value > most) {
            throw new InvalidMessageException(field + " is out of range");
        }
        return value;
    }

    /** Reads a boolean. */
    static boolean flag(JsonNode object, String field) throws InvalidMessageException {
        JsonNode node = object.get(field);
        if (node == null || !node.isBoolean()) {
            throw new InvalidMessageException(field + " must be true or false");
        }
        return node.booleanValue();
    }

    /** Whether the field is missing or null. */
    static boolean absent(JsonNode object, String field) {
        JsonNode node = object.get(field);
        return node == null || node.isNull();
    }

    /** A list of texts, which may be empty, or null where it is absent. */
    static List<String> texts(JsonNode object, String field) throws InvalidMessageException {
        if (absent(object, field)) {
            return null;
        }
        JsonNode node = object.get(field);
        if (!node.isArray()) {
            throw new InvalidMessageException(field + " must be a list of names");
        }
        List<String> list = new ArrayList<>();
        for (JsonNode item : node) {
            if (!item.isTextual()) {
                throw new InvalidMessageException(field + " must be a list of names");
            }
            list.add(item.textValue());
        }
        return List.copyOf(list);
    }
}

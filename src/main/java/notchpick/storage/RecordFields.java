package notchpick.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import notchpick.scheduling.Resources;

/** Reads fields that several kinds of records share. */
final class RecordFields {
    /** Upper bound of the bytes that commas, brackets and flags take in one entry of a record. */
    static final int MAX_PUNCTUATION_BYTES = 32;

    private RecordFields() {}

    /** Reads a list of strings; a missing field is an empty list. */
    static List<String> texts(JsonNode list) {
        List<String> texts = new ArrayList<>();
        list.forEach(text -> texts.add(text.asText()));
        return texts;
    }

    /** Reads the resources from the fields of an object. */
    static Resources resources(JsonNode node) {
        return new Resources(
                node.path("cores").asDouble(),
                node.path("gpus").asDouble(),
                node.path("ram").asDouble());
    }
}

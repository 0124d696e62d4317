package notchpick.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import notchpick.scheduling.Resources;

/** Fields that several kinds of records share. */
final class RecordFields {
    /** Commas, brackets and flags of one entry of a record take at most this many bytes. */
    static final int PUNCTUATION_BYTES = 32;

    private RecordFields() {}

    /** Reads a list of texts; a field that is missing is an empty list. */
    static List<String> texts(JsonNode list) {
        List<String> texts = new ArrayList<>();
        list.forEach(text -> texts.add(text.asText()));
        return texts;
    }

    /** Reads the resources that stand in the fields of an object. */
    static Resources resources(JsonNode node) {
        return new Resources(
                node.path("cores").asDouble(),
                node.path("gpus").asDouble(),
                node.path("ram").asDouble());
    }
}

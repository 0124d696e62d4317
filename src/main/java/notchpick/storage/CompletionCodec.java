package notchpick.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import notchpick.model.CompletionRange;
import notchpick.protocol.Json;

/** Encodes which tasks of open jobs have completed, as one bit set for each range of tasks. */
public final class CompletionCodec {
    private static final int BASE64_GROUP_BYTES = 3;
    private static final int BASE64_GROUP_CHARACTERS = 4;

    private CompletionCodec() {}

    /** Encodes the current completions of these ranges as one value. */
    public static ObjectNode encode(Collection<CompletionRange> ranges) {
        ObjectNode node = Json.object();
        ArrayNode list = node.putArray("jobs");
        for (CompletionRange range : ranges) {
            list.addArray()
                    .add(range.job().id())
                    .add(range.first())
                    .add(Base64.getEncoder().encodeToString(range.takeSnapshot().toByteArray()));
        }
        return node;
    }

    /** Decodes the completions in the order in which the value lists them. */
    public static List<RecordedCompletions> decode(JsonNode node) {
        List<RecordedCompletions> completions = new ArrayList<>();
        for (JsonNode range : node.path("jobs")) {
            completions.add(new RecordedCompletions(
                    range.path(0).asText(),
                    range.path(1).asInt(),
                    BitSet.valueOf(Base64.getDecoder().decode(range.path(2).asText()))));
        }
        return completions;
    }

    /** Returns an upper bound of the bytes that a range adds to a value. */
    public static int maxBytes(CompletionRange range) {
        int groups = (range.count() / Byte.SIZE + BASE64_GROUP_BYTES) / BASE64_GROUP_BYTES;
        return Json.maxTextBytes(range.job().id())
                + Integer.toString(range.first()).length()
                + RecordFields.MAX_PUNCTUATION_BYTES
                + groups * BASE64_GROUP_CHARACTERS;
    }
}

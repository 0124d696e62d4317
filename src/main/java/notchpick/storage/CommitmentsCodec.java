package notchpick.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import notchpick.protocol.Json;
import notchpick.scheduling.Resources;
import notchpick.scheduling.StatefulDrf;

/** Encodes the commitments of all teams as one value. */
public final class CommitmentsCodec {
    /** Upper bound of the bytes that the field names and numbers of one commitment take. */
    private static final int MAX_COMMITMENT_FIELD_BYTES = 112;

    private CommitmentsCodec() {}

    /**
     * Encodes as many commitments as fit into the value, those with the largest dominant share first: the ones that
     * are left out affect scheduling least.
     */
    public static ObjectNode encode(Map<String, Resources> commitments, int maxBytes) {
        List<String> teams = new ArrayList<>(commitments.keySet());
        teams.sort(Comparator.comparingDouble(team -> -StatefulDrf.dominant(commitments.get(team))));
        ObjectNode node = Json.object();
        int bytesLeft = maxBytes - 2;
        for (String team : teams) {
            Resources amounts = commitments.get(team);
            bytesLeft -= Json.maxTextBytes(team) + MAX_COMMITMENT_FIELD_BYTES;
            if (bytesLeft < 0) {
                break;
            }
            node.putObject(team)
                    .put("cores", amounts.cores())
                    .put("gpus", amounts.gpus())
                    .put("ram", amounts.ram());
        }
        return node;
    }

    /** Decodes the commitments by team; empty if none were saved. */
    public static Map<String, Resources> decode(JsonNode node) {
        Map<String, Resources> commitments = new HashMap<>();
        node.fields()
                .forEachRemaining(field -> commitments.put(field.getKey(), RecordFields.resources(field.getValue())));
        return commitments;
    }
}

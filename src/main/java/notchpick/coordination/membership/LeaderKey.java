package notchpick.coordination.membership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import notchpick.protocol.Json;
import notchpick.protocol.StateStoreClient.Entry;

/**
 * The contents of the leader key.
 *
 * @param holder the controller that the key names
 * @param lease the lease that the key is attached to
 * @param version the store revision at which the key was created
 */
record LeaderKey(String holder, long term, long lease, long version) {
    /** The field of the term, in the leader key and in the record of the term. */
    static final String TERM_FIELD = "term";

    private static final String NODE_FIELD = "node";

    /** Decodes the key as read from the state store. */
    static LeaderKey decode(Entry entry) {
        JsonNode value = entry.value();
        return new LeaderKey(
                value.path(NODE_FIELD).asText(), value.path(TERM_FIELD).asLong(), entry.lease(), entry.version());
    }

    /** Encodes the value of the key for an election. */
    static ObjectNode encode(String holder, long term) {
        return Json.object().put(NODE_FIELD, holder).put(TERM_FIELD, term);
    }
}

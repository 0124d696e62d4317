package notchpick.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;

/** A conditional transaction of the state store: it makes all its writes if all conditions hold, otherwise none. */
public final class Transaction {
    private final Map<String, Long> conditions = new LinkedHashMap<>();
    private final ArrayNode writes = Json.object().putArray("writes");

    /** Adds the condition that the key has this version; 0 requires that the key does not exist. */
    public Transaction requireVersion(String key, long version) {
        conditions.put(key, version);
        return this;
    }

    /** Adds a write of a key. */
    public Transaction put(String key, JsonNode value) {
        writes.addObject().put(StateStoreFields.PUT, key).set(StateStoreFields.VALUE, value);
        return this;
    }

    /** Adds a write of a key that the state store deletes when the lease ends. */
    public Transaction put(String key, JsonNode value, long lease) {
        writes.addObject()
                .put(StateStoreFields.PUT, key)
                .put(StateStoreFields.LEASE, lease)
                .set(StateStoreFields.VALUE, value);
        return this;
    }

    /** Adds a deletion of a key. */
    public Transaction delete(String key) {
        writes.addObject().put(StateStoreFields.DELETE, key);
        return this;
    }

    /** Serializes the body of the request that commits the transaction. */
    byte[] body() {
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("guards");
        conditions.forEach((key, version) ->
                list.addObject().put(StateStoreFields.KEY, key).put(StateStoreFields.VERSION, version));
        body.set("writes", writes);
        return Json.bytes(body);
    }
}

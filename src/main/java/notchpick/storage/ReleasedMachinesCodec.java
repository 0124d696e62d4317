package notchpick.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.List;
import notchpick.model.Machine;
import notchpick.protocol.Json;

/** Encodes the machines whose release may have been requested but is not confirmed yet. */
public final class ReleasedMachinesCodec {
    private ReleasedMachinesCodec() {}

    /** Encodes the machines' names. */
    public static ObjectNode encode(Collection<Machine> machines) {
        ObjectNode node = Json.object();
        ArrayNode names = node.putArray("machines");
        machines.forEach(machine -> names.add(machine.name()));
        return node;
    }

    /** Decodes the machines' names. */
    public static List<String> decode(JsonNode node) {
        return RecordFields.texts(node.path("machines"));
    }

    /** Returns an upper bound of the bytes that a machine adds to the value. */
    public static int maxBytes(Machine machine) {
        return Json.maxTextBytes(machine.name()) + 1;
    }
}

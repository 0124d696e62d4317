package notchpick.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.Resources;

/** Encodes machine types in the format of the cloud's replies, which is also the format in the state store. */
public final class MachineTypesCodec {
    private static final String NAME = "label";
    private static final String CACHE_GB = "cacheGb";
    private static final String FETCH_GB_PER_S = "pullGbPerS";
    private static final String PRICE = "price";
    private static final String SPOT_PRICE = "marketPrice";
    private static final String BOOT_S = "readyS";

    private MachineTypesCodec() {}

    /** Decodes machine types; returns empty if there are none or one of them is malformed. */
    public static Optional<List<MachineType>> decode(JsonNode body) {
        List<MachineType> types = new ArrayList<>();
        try {
            for (JsonNode node : body.path(WireFields.MACHINE_TYPES)) {
                types.add(decodeType(node));
            }
        } catch (InvalidMessageException e) {
            return Optional.empty();
        }
        return types.isEmpty() ? Optional.empty() : Optional.of(List.copyOf(types));
    }

    private static MachineType decodeType(JsonNode node) throws InvalidMessageException {
        List<String> zones = Json.texts(node, WireFields.ZONES).orElse(List.of());
        return new MachineType(
                Json.text(node, NAME),
                new Resources(
                        amount(node, WireFields.CORES),
                        Json.isAbsent(node, WireFields.GPUS) ? 0 : amount(node, WireFields.GPUS),
                        amount(node, WireFields.RAM_GB)),
                amount(node, CACHE_GB),
                amount(node, FETCH_GB_PER_S),
                amount(node, PRICE),
                amount(node, SPOT_PRICE),
                amount(node, BOOT_S),
                zones);
    }

    private static double amount(JsonNode node, String field) throws InvalidMessageException {
        return Json.number(node, field, 0, WireFields.MAX_AMOUNT);
    }

    /** Encodes machine types. */
    public static ObjectNode encode(Collection<MachineType> types) {
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray(WireFields.MACHINE_TYPES);
        for (MachineType type : types) {
            ObjectNode node = list.addObject()
                    .put(NAME, type.name())
                    .put(WireFields.CORES, type.size().cores())
                    .put(WireFields.GPUS, type.size().gpus())
                    .put(WireFields.RAM_GB, type.size().ram())
                    .put(CACHE_GB, type.cacheGb())
                    .put(FETCH_GB_PER_S, type.fetchGbPerS())
                    .put(PRICE, type.price())
                    .put(SPOT_PRICE, type.spotPrice())
                    .put(BOOT_S, type.bootS());
            ArrayNode zones = node.putArray(WireFields.ZONES);
            type.zones().forEach(zones::add);
        }
        return body;
    }
}

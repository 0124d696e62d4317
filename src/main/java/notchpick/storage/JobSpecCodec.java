package notchpick.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import notchpick.protocol.Json;
import notchpick.scheduling.JobSpec;

/** Encodes the description of an open job. */
public final class JobSpecCodec {
    /** Upper bound of the bytes that field names, numbers and flags take. */
    private static final int MAX_FIXED_BYTES = 600;

    private JobSpecCodec() {}

    /** Encodes a description without the job's id, which is part of the key. */
    public static ObjectNode encode(JobSpec spec) {
        ObjectNode node = Json.object()
                .put("class", spec.jobClass())
                .put("team", spec.team())
                .put("form", spec.form().name())
                .put("priority", spec.priority().name())
                .put("tasks", spec.tasks())
                .put("cores", spec.demand().cores())
                .put("gpus", spec.demand().gpus())
                .put("ram", spec.demand().ram())
                .put("zone", spec.zone())
                .put("oneZone", spec.colocated())
                .put("spread", spec.spread())
                .put("spot", spec.spot())
                .put("image", spec.image())
                .put("imageGb", spec.imageGb())
                .put("estimateS", spec.estimateS())
                .put("checkpointS", spec.checkpointIntervalS())
                .put("saveS", spec.checkpointWriteS())
                .put("deadlineS", spec.deadlineS())
                .put("submittedAt", spec.submittedAtMs());
        if (spec.types() != null) {
            ArrayNode types = node.putArray("types");
            spec.types().forEach(types::add);
        }
        if (!spec.dependencies().isEmpty()) {
            ArrayNode dependencies = node.putArray("needs");
            spec.dependencies().forEach(dependencies::add);
        }
        return node;
    }

    /** Decodes the description of the job with this id. */
    public static JobSpec decode(String id, JsonNode node) {
        JsonNode types = node.path("types");
        JsonNode zone = node.path("zone");
        JsonNode deadline = node.path("deadlineS");
        return JobSpec.builder(id)
                .jobClass(node.path("class").asText())
                .team(node.path("team").asText())
                .form(JobSpec.Form.valueOf(node.path("form").asText()))
                .priority(JobSpec.Priority.valueOf(node.path("priority").asText()))
                .tasks(node.path("tasks").asInt())
                .demand(RecordFields.resources(node))
                .types(types.isArray() ? RecordFields.texts(types) : null)
                .zone(zone.isTextual() ? zone.asText() : null)
                .colocated(node.path("oneZone").asBoolean())
                .spread(node.path("spread").asBoolean())
                .spot(node.path("spot").asBoolean())
                .image(node.path("image").asText())
                .imageGb(node.path("imageGb").asDouble())
                .estimateS(node.path("estimateS").asDouble())
                .checkpointIntervalS(node.path("checkpointS").asDouble())
                .checkpointWriteS(node.path("saveS").asDouble())
                .deadlineS(deadline.isNumber() ? deadline.asDouble() : null)
                .submittedAtMs(node.path("submittedAt").asLong())
                .dependencies(RecordFields.texts(node.path("needs")))
                .build();
    }

    /** Returns an upper bound of the bytes that the encoded description takes. */
    public static int maxBytes(JobSpec spec) {
        int textBytes = Json.maxTextBytes(spec.jobClass())
                + Json.maxTextBytes(spec.team())
                + Json.maxTextBytes(spec.image())
                + (spec.zone() == null ? 0 : Json.maxTextBytes(spec.zone()));
        return textBytes
                + listBytes(spec.types() == null ? List.of() : spec.types())
                + listBytes(spec.dependencies())
                + MAX_FIXED_BYTES;
    }

    private static int listBytes(List<String> texts) {
        int bytes = 0;
        for (String text : texts) {
            bytes += Json.maxTextBytes(text) + 1;
        }
        return bytes;
    }
}

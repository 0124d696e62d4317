package notchpick.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import notchpick.model.JobRecord;
import notchpick.model.JobStatus;
import notchpick.protocol.Json;

/** Encodes the outcome of a job. */
public final class JobRecordCodec {
    private static final String DONE = JobStatus.DONE.name().toLowerCase(Locale.ROOT);

    private JobRecordCodec() {}

    /** Encodes the record of a job that has ended. */
    public static ObjectNode encode(JobRecord record) {
        ObjectNode node = Json.object()
                .put("state", record.status().name().toLowerCase(Locale.ROOT))
                .put("tasks", record.tasks())
                .put("done", record.done())
                .put("endedAt", record.endedAtMs());
        return record.service() ? node.put("service", true) : node;
    }

    /** Decodes a record; a field that an earlier version did not write is 0 or false. */
    public static JobRecord decode(JsonNode value) {
        JobStatus status = value.path("state").asText().equals(DONE) ? JobStatus.DONE : JobStatus.CANCELLED;
        return new JobRecord(
                status,
                value.path("tasks").asInt(),
                value.path("done").asInt(),
                value.path("endedAt").asLong(),
                value.path("service").asBoolean());
    }
}

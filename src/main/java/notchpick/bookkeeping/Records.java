package notchpick.bookkeeping;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import notchpick.protocol.Json;
import notchpick.scheduling.Amounts;
import notchpick.scheduling.FleetPlan.Pool;
import notchpick.scheduling.JobSpec;

/** Keys and values under which the controllers keep things in the state service. */
public final class Records {
    public static final String LEADER = "leader";
    public static final String TERM = "term";
    public static final String TYPES = "types";
    public static final String COMMITMENTS = "commitments";
    /** What every job leaves for good: whether it is open, done or cancelled. */
    public static final String JOB = "job/";
    /** The full description of every open job, so that a new leader reads open work only. */
    public static final String OPEN = "open/";
    public static final String DONE_TASKS = "fin/";
    public static final String MACHINE = "mach/";

    /** So many tasks' done marks share a value, which then takes 5.5 KiB at the most. */
    public static final int CHUNK = 32_768;

    private Records() {}

    /** How a job stands for good. */
    public enum Fate { OPEN, DONE, CANCELLED }

    public record JobRecord(Fate fate, int tasks, int done) {}

    public static ObjectNode job(JobRecord record) {
        return Json.object().put("state", record.fate().name().toLowerCase()).put("tasks", record.tasks())
                .put("done", record.done());
    }

    public static JobRecord job(JsonNode value) {
        Fate fate = switch (value.path("state").asText()) {
            case "done" -> Fate.DONE;
            case "cancelled" -> Fate.CANCELLED;
            default -> Fate.OPEN;
        };
        return new JobRecord(fate, value.path("tasks").asInt(), value.path("done").asInt());
    }

    public static ObjectNode spec(JobSpec spec) {
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
                .put("oneZone", spec.oneZone())
                .put("spread", spec.spread())
                .put("spot", spec.spot())
                .put("image", spec.image())
                .put("imageGb", spec.imageGb())
                .put("estimateS", spec.estimateS())
                .put("checkpointS", spec.checkpointS())
                .put("saveS", spec.saveS())
                .put("deadlineS", spec.deadlineS())
                .put("submittedAt", spec.submittedAt());
        if (spec.types() != null) {
            ArrayNode types = node.putArray("types");
            spec.types().forEach(types::add);
        }
        return node;
    }

    public static JobSpec spec(String id, JsonNode node) {
        List<String> types = null;
        if (node.path("types").isArray()) {
            types = new ArrayList<>();
            for (JsonNode type : node.path("types")) {
                types.add(type.asText());
            }
        }
        return new JobSpec(
                id,
                node.path("class").asText(),
                node.path("team").asText(),
                JobSpec.Form.valueOf(node.path("form").asText()),
                JobSpec.Priority.valueOf(node.path("priority").asText()),
                node.path("tasks").asInt(),
                amounts(node),
                types,
                node.path("zone").isTextual() ? node.path("zone").asText() : null,
                node.path("oneZone").asBoolean(),
                node.path("spread").asBoolean(),
                node.path("spot").asBoolean(),
                node.path("image").asText(),
                node.path("imageGb").asDouble(),
                node.path("estimateS").asDouble(),
                node.path("checkpointS").asDouble(),
                node.path("saveS").asDouble(),
                node.path("deadlineS").isNumber() ? node.path("deadlineS").asDouble() : null,
                node.path("submittedAt").asLong());
    }

    private static Amounts amounts(JsonNode node) {
        return new Amounts(node.path("cores").asDouble(), node.path("gpus").asDouble(), node.path("ram").asDouble());
    }

    /**
     * A machine and every task that may be on it. Of each task's job it holds what counts against a
     * team's limit, since the job may be over, and its description gone, when a new leader reads it.
     */
    public static ObjectNode machine(Machine machine) {
        ObjectNode node = Json.object()
                .put("type", machine.pool.type())
                .put("zone", machine.pool.zone())
                .put("spot", machine.pool.spot())
                .put("released", machine.life == Machine.Life.RELEASED);
        ArrayNode images = node.putArray("images");
        machine.images.forEach(images::add);
        Map<String, ArrayNode> tasksByJob = new LinkedHashMap<>();
        ObjectNode jobs = node.putObject("jobs");
        for (Binding binding : machine.bindings.values()) {
            ArrayNode tasks = tasksByJob.computeIfAbsent(binding.spec.id(), id -> jobs.putObject(id)
                    .put("team", binding.spec.team())
                    .put("cores", binding.spec.demand().cores())
                    .put("gpus", binding.spec.demand().gpus())
                    .put("ram", binding.spec.demand().ram())
                    .putArray("tasks"));
            tasks.addArray().add(binding.task).add(binding.attempt);
        }
        return node;
    }

    public record Hint(JobSpec job, int task, long attempt) {}

    public record MachineRecord(Pool pool, boolean released, List<String> images, List<Hint> hints) {}

    public static MachineRecord machine(JsonNode node) {
        List<String> images = new ArrayList<>();
        node.path("images").forEach(image -> images.add(image.asText()));
        List<Hint> hints = new ArrayList<>();
        node.path("jobs").fields().forEachRemaining(field -> {
            JsonNode job = field.getValue();
            JobSpec stub = new JobSpec(field.getKey(), "", job.path("team").asText(), JobSpec.Form.ARRAY,
                    JobSpec.Priority.NORMAL, 0, amounts(job), null, null, false, false, true, "", 0, 0, 0, 0, null, 0);
            for (JsonNode task : job.path("tasks")) {
                hints.add(new Hint(stub, task.path(0).asInt(), task.path(1).asLong()));
            }
        });
        Pool pool = new Pool(
                node.path("type").asText(), node.path("zone").asText(), node.path("spot").asBoolean());
        return new MachineRecord(pool, node.path("released").asBoolean(), images, hints);
    }

    public static String chunkKey(String job, int chunk) {
        return DONE_TASKS + job + "/" + chunk;
    }

    public static ObjectNode chunk(BitSet done, int chunk) {
        BitSet slice = done.get(chunk * CHUNK, (chunk + 1) * CHUNK);
        return Json.object().put("bits", Base64.getEncoder().encodeToString(slice.toByteArray()));
    }

    public static BitSet chunk(JsonNode node) {
        return BitSet.valueOf(Base64.getDecoder().decode(node.path("bits").asText()));
    }

    public static ObjectNode commitments(Map<String, Amounts> commitments) {
        ObjectNode node = Json.object();
        commitments.forEach((team, amounts) -> node.putObject(team)
                .put("cores", amounts.cores()).put("gpus", amounts.gpus()).put("ram", amounts.ram()));
        return node;
    }

    public static Map<String, Amounts> commitments(JsonNode node) {
        Map<String, Amounts> commitments = new HashMap<>();
        node.fields().forEachRemaining(field -> commitments.put(field.getKey(), amounts(field.getValue())));
        return commitments;
    }
}

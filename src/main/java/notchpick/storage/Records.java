package notchpick.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import notchpick.model.CompletionRange;
import notchpick.model.JobRecord;
import notchpick.model.JobStatus;
import notchpick.model.Machine;
import notchpick.model.TaskAssignment;
import notchpick.protocol.Json;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.NodePool;
import notchpick.scheduling.Resources;
import notchpick.scheduling.StatefulDrf;

/** Keys and values under which the controllers keep things in the state service. */
public final class Records {
    public static final String LEADER = "leader";
    public static final String TERM = "term";
    public static final String TYPES = "types";
    public static final String COMMITMENTS = "commitments";
    /** What every job that is over leaves for good: whether it is done or cancelled. */
    public static final String JOB = "job/";
    /** The full description of every open job, so that a new leader reads open work only. */
    public static final String OPEN = "open/";
    /** Done tasks of open jobs; many jobs share a value. */
    public static final String DONE_TASKS = "done/";
    /** Tasks that may be on machines; many machines share a value. */
    public static final String STARTS = "start/";
    /** Machines whose release may have been asked and has not been confirmed. */
    public static final String RELEASED = "released";
    /** The form of all this, kept with the term; the first had none, and a record for each machine. */
    public static final int FORMAT = 2;

    private Records() {}

    /** The durable form of how a job ended. */
    public static ObjectNode job(JobRecord record) {
        ObjectNode node = Json.object()
                .put("state", record.status().name().toLowerCase())
                .put("tasks", record.tasks())
                .put("done", record.done())
                .put("endedAt", record.endedAt());
        return record.service() ? node.put("service", true) : node;
    }

    /** Reads what {@link #job(JobRecord)} wrote, in this or the former version. */
    public static JobRecord job(JsonNode value) {
        JobStatus fate = value.path("state").asText().equals("done") ? JobStatus.DONE : JobStatus.CANCELLED;
        return new JobRecord(
                fate,
                value.path("tasks").asInt(),
                value.path("done").asInt(),
                value.path("endedAt").asLong(),
                value.path("service").asBoolean());
    }

    /** The durable form of an open job's description. */
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
                .put("oneZone", spec.colocated())
                .put("spread", spec.spread())
                .put("spot", spec.spot())
                .put("image", spec.image())
                .put("imageGb", spec.imageGb())
                .put("estimateS", spec.estimateS())
                .put("checkpointS", spec.checkpointIntervalS())
                .put("saveS", spec.checkpointWriteS())
                .put("deadlineS", spec.deadlineS())
                .put("submittedAt", spec.submittedAt());
        if (spec.types() != null) {
            ArrayNode types = node.putArray("types");
            spec.types().forEach(types::add);
        }
        if (!spec.dependencies().isEmpty()) {
            ArrayNode needs = node.putArray("needs");
            spec.dependencies().forEach(needs::add);
        }
        return node;
    }

    /** As many bytes as {@link #spec} takes at the most. */
    public static int specBytes(JobSpec spec) {
        int text = Json.textBytes(spec.jobClass())
                + Json.textBytes(spec.team())
                + Json.textBytes(spec.image())
                + (spec.zone() == null ? 0 : Json.textBytes(spec.zone()));
        for (String type : spec.types() == null ? List.<String>of() : spec.types()) {
            text += Json.textBytes(type) + 1;
        }
        for (String need : spec.dependencies()) {
            text += Json.textBytes(need) + 1;
        }
        return text + SPEC_FRAME_BYTES;
    }

    /** Field names, numbers and flags of a job's description. */
    private static final int SPEC_FRAME_BYTES = 600;

    /** Reads what {@link #spec(JobSpec)} wrote. */
    public static JobSpec spec(String id, JsonNode node) {
        List<String> types = node.path("types").isArray() ? texts(node.path("types")) : null;
        return JobSpec.builder(id)
                .jobClass(node.path("class").asText())
                .team(node.path("team").asText())
                .form(JobSpec.Form.valueOf(node.path("form").asText()))
                .priority(JobSpec.Priority.valueOf(node.path("priority").asText()))
                .tasks(node.path("tasks").asInt())
                .demand(resources(node))
                .types(types)
                .zone(node.path("zone").isTextual() ? node.path("zone").asText() : null)
                .colocated(node.path("oneZone").asBoolean())
                .spread(node.path("spread").asBoolean())
                .spot(node.path("spot").asBoolean())
                .image(node.path("image").asText())
                .imageGb(node.path("imageGb").asDouble())
                .estimateS(node.path("estimateS").asDouble())
                .checkpointIntervalS(node.path("checkpointS").asDouble())
                .checkpointWriteS(node.path("saveS").asDouble())
                .deadlineS(
                        node.path("deadlineS").isNumber()
                                ? node.path("deadlineS").asDouble()
                                : null)
                .submittedAt(node.path("submittedAt").asLong())
                .dependencies(texts(node.path("needs")))
                .build();
    }

    private static List<String> texts(JsonNode list) {
        List<String> texts = new ArrayList<>();
        list.forEach(text -> texts.add(text.asText()));
        return texts;
    }

    private static Resources resources(JsonNode node) {
        return new Resources(
                node.path("cores").asDouble(),
                node.path("gpus").asDouble(),
                node.path("ram").asDouble());
    }

    /**
     * Tasks that may be on machines. Of each task's job it holds what counts against a team's limit,
     * since the job may be over, and its description gone, when a new leader reads it.
     */
    public static ObjectNode starts(Collection<TaskAssignment> assignments) {
        ObjectNode node = Json.object();
        ObjectNode jobs = node.putObject("jobs");
        ObjectNode machines = node.putObject("machines");
        Map<Machine, ArrayNode> tasks = new HashMap<>();
        for (TaskAssignment assignment : assignments) {
            String job = assignment.spec().id();
            if (!jobs.has(job)) {
                Resources demand = assignment.spec().demand();
                jobs.putArray(job)
                        .add(assignment.spec().team())
                        .add(demand.cores())
                        .add(demand.gpus())
                        .add(demand.ram());
            }
            tasks.computeIfAbsent(
                            assignment.machine(),
                            machine -> machines.putArray(machine.name())
                                    .add(machine.type())
                                    .add(machine.zone())
                                    .add(machine.isSpot())
                                    .addArray())
                    .add(job)
                    .add(assignment.task())
                    .add(assignment.attempt());
        }
        return node;
    }

    /** As many bytes as a task takes among {@link #starts} at the most. */
    public static int startBytes(TaskAssignment assignment) {
        JobSpec spec = assignment.spec();
        Resources demand = spec.demand();
        int job = Json.textBytes(spec.id()) * 2
                + Json.textBytes(spec.team())
                + (demand.cores() + "" + demand.gpus() + demand.ram()).length();
        Machine machine = assignment.machine();
        int place = Json.textBytes(machine.name()) + Json.textBytes(machine.type()) + Json.textBytes(machine.zone());
        int numbers = (Integer.toString(assignment.task()) + assignment.attempt()).length();
        return job + place + numbers + PUNCTUATION_BYTES;
    }

    /** Commas, brackets and "false" of one entry of any record here. */
    private static final int PUNCTUATION_BYTES = 32;

    /** A task that may be on a machine, of which this says where it is and what it takes. */
    public record Hint(String machine, NodePool pool, JobSpec job, int task, long attempt) {}

    /** Reads the tasks that a packed record of launches names. */
    public static List<Hint> hints(JsonNode node) {
        Map<String, JobSpec> jobs = new HashMap<>();
        node.path("jobs").fields().forEachRemaining(field -> {
            JsonNode job = field.getValue();
            Resources demand = new Resources(
                    job.path(1).asDouble(), job.path(2).asDouble(), job.path(3).asDouble());
            jobs.put(
                    field.getKey(),
                    JobSpec.builder(field.getKey())
                            .team(job.path(0).asText())
                            .tasks(0)
                            .demand(demand)
                            .spot(true)
                            .build());
        });
        List<Hint> hints = new ArrayList<>();
        node.path("machines").fields().forEachRemaining(field -> {
            JsonNode machine = field.getValue();
            NodePool pool = new NodePool(
                    machine.path(0).asText(),
                    machine.path(1).asText(),
                    machine.path(2).asBoolean());
            JsonNode tasks = machine.path(3);
            for (int i = 0; i + 2 < tasks.size(); i += 3) {
                hints.add(new Hint(
                        field.getKey(),
                        pool,
                        jobs.get(tasks.get(i).asText()),
                        tasks.get(i + 1).asInt(),
                        tasks.get(i + 2).asLong()));
            }
        });
        return hints;
    }

    /** Done marks of several jobs, each as a run of bits from some task on. */
    public static ObjectNode done(Collection<CompletionRange> marks) {
        ObjectNode node = Json.object();
        ArrayNode jobs = node.putArray("jobs");
        for (CompletionRange run : marks) {
            jobs.addArray()
                    .add(run.job().id())
                    .add(run.first())
                    .add(Base64.getEncoder().encodeToString(run.write().toByteArray()));
        }
        return node;
    }

    /** As many bytes as a run of done marks takes among {@link #done} at the most. */
    public static int doneBytes(CompletionRange run) {
        return Json.textBytes(run.job().id())
                + Integer.toString(run.first()).length()
                + PUNCTUATION_BYTES
                + (run.count() / 8 + 3) / 3 * 4;
    }

    /** The tasks from {@code first} on that are done. */
    public record DoneRun(String job, int first, BitSet bits) {}

    /** Reads the runs of done marks that a packed record holds. */
    public static List<DoneRun> done(JsonNode node) {
        List<DoneRun> runs = new ArrayList<>();
        for (JsonNode run : node.path("jobs")) {
            runs.add(new DoneRun(
                    run.path(0).asText(),
                    run.path(1).asInt(),
                    BitSet.valueOf(Base64.getDecoder().decode(run.path(2).asText()))));
        }
        return runs;
    }

    /** The durable form of the machines whose release may have been requested. */
    public static ObjectNode released(Collection<Machine> machines) {
        ObjectNode node = Json.object();
        ArrayNode names = node.putArray("machines");
        machines.forEach(machine -> names.add(machine.name()));
        return node;
    }

    /** As many bytes as a machine takes among {@link #released} at the most. */
    public static int releasedBytes(Machine machine) {
        return Json.textBytes(machine.name()) + 1;
    }

    public static List<String> released(JsonNode node) {
        return texts(node.path("machines"));
    }

    /** The commitments, the largest first and as many as the value may hold: the others weigh least. */
    public static ObjectNode commitments(Map<String, Resources> commitments, int mostBytes) {
        List<String> teams = new ArrayList<>(commitments.keySet());
        teams.sort(Comparator.comparingDouble(team -> -StatefulDrf.dominant(commitments.get(team))));
        ObjectNode node = Json.object();
        int left = mostBytes - 2;
        for (String team : teams) {
            Resources amounts = commitments.get(team);
            left -= Json.textBytes(team) + COMMITMENT_BYTES;
            if (left < 0) {
                break;
            }
            node.putObject(team)
                    .put("cores", amounts.cores())
                    .put("gpus", amounts.gpus())
                    .put("ram", amounts.ram());
        }
        return node;
    }

    /** Field names of one commitment, and three numbers. */
    private static final int COMMITMENT_BYTES = 112;

    /** Reads the commitments by team; empty where none were saved. */
    public static Map<String, Resources> commitments(JsonNode node) {
        Map<String, Resources> commitments = new HashMap<>();
        node.fields().forEachRemaining(field -> commitments.put(field.getKey(), resources(field.getValue())));
        return commitments;
    }
}

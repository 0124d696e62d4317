package notchpick.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import notchpick.model.Machine;
import notchpick.model.TaskAssignment;
import notchpick.protocol.Json;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.NodePool;
import notchpick.scheduling.Resources;

/**
 * Encodes launches, grouped by machine. A value also holds, for each task's job, the fields that count against the
 * team's limit: by the time a new leader reads the value, the job may have ended, with its description deleted.
 */
public final class LaunchRecordCodec {
    /** The tasks of a machine are encoded as one flat array of job id, task index and attempt. */
    private static final int FIELDS_PER_TASK = 3;

    // Positions in the array of a job.
    private static final int JOB_TEAM = 0;
    private static final int JOB_CORES = 1;
    private static final int JOB_GPUS = 2;
    private static final int JOB_RAM = 3;
    // Positions in the array of a machine.
    private static final int MACHINE_TYPE = 0;
    private static final int MACHINE_ZONE = 1;
    private static final int MACHINE_SPOT = 2;
    private static final int MACHINE_TASKS = 3;
    // Offsets of the fields of one task in the flat array.
    private static final int TASK_JOB = 0;
    private static final int TASK_INDEX = 1;
    private static final int TASK_ATTEMPT = 2;

    private LaunchRecordCodec() {}

    /** Encodes the launches of these assignments as one value. */
    public static ObjectNode encode(Collection<TaskAssignment> assignments) {
        ObjectNode node = Json.object();
        ObjectNode jobs = node.putObject("jobs");
        ObjectNode machines = node.putObject("machines");
        Map<Machine, ArrayNode> tasks = new HashMap<>();
        for (TaskAssignment assignment : assignments) {
            JobSpec spec = assignment.spec();
            if (!jobs.has(spec.id())) {
                addJob(jobs, spec);
            }
            tasks.computeIfAbsent(assignment.machine(), machine -> addMachine(machines, machine))
                    .add(spec.id())
                    .add(assignment.task())
                    .add(assignment.attempt());
        }
        return node;
    }

    private static void addJob(ObjectNode jobs, JobSpec spec) {
        jobs.putArray(spec.id())
                .add(spec.team())
                .add(spec.demand().cores())
                .add(spec.demand().gpus())
                .add(spec.demand().ram());
    }

    /** Adds a machine and returns the array of its tasks, which is still empty. */
    private static ArrayNode addMachine(ObjectNode machines, Machine machine) {
        return machines.putArray(machine.name())
                .add(machine.type())
                .add(machine.zone())
                .add(machine.isSpot())
                .addArray();
    }

    /** Decodes the launches in the order in which the value lists them. */
    public static List<LaunchRecord> decode(JsonNode node) {
        Map<String, JobSpec> jobs = new HashMap<>();
        node.path("jobs").fields().forEachRemaining(field -> {
            jobs.put(field.getKey(), decodeJob(field.getKey(), field.getValue()));
        });
        List<LaunchRecord> launches = new ArrayList<>();
        node.path("machines").fields().forEachRemaining(field -> {
            decodeMachine(field.getKey(), field.getValue(), jobs, launches);
        });
        return launches;
    }

    private static JobSpec decodeJob(String id, JsonNode job) {
        Resources demand = new Resources(
                job.path(JOB_CORES).asDouble(),
                job.path(JOB_GPUS).asDouble(),
                job.path(JOB_RAM).asDouble());
        return JobSpec.builder(id)
                .team(job.path(JOB_TEAM).asText())
                .tasks(0)
                .demand(demand)
                .spot(true)
                .build();
    }

    private static void decodeMachine(
            String name, JsonNode machine, Map<String, JobSpec> jobs, List<LaunchRecord> launches) {
        NodePool pool = new NodePool(
                machine.path(MACHINE_TYPE).asText(),
                machine.path(MACHINE_ZONE).asText(),
                machine.path(MACHINE_SPOT).asBoolean());
        JsonNode tasks = machine.path(MACHINE_TASKS);
        for (int i = 0; i + FIELDS_PER_TASK <= tasks.size(); i += FIELDS_PER_TASK) {
            JobSpec job = jobs.get(tasks.get(i + TASK_JOB).asText());
            int task = tasks.get(i + TASK_INDEX).asInt();
            long attempt = tasks.get(i + TASK_ATTEMPT).asLong();
            launches.add(new LaunchRecord(name, pool, job, task, attempt));
        }
    }

    /** Returns an upper bound of the bytes that one launch adds to a value. */
    public static int maxBytes(TaskAssignment assignment) {
        JobSpec spec = assignment.spec();
        Resources demand = spec.demand();
        int jobBytes = Json.maxTextBytes(spec.id()) * 2
                + Json.maxTextBytes(spec.team())
                + (demand.cores() + "" + demand.gpus() + demand.ram()).length();
        Machine machine = assignment.machine();
        int machineBytes = Json.maxTextBytes(machine.name())
                + Json.maxTextBytes(machine.type())
                + Json.maxTextBytes(machine.zone());
        int numberBytes = (Integer.toString(assignment.task()) + assignment.attempt()).length();
        return jobBytes + machineBytes + numberBytes + RecordFields.MAX_PUNCTUATION_BYTES;
    }
}

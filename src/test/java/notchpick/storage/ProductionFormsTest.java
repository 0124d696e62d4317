package notchpick.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import notchpick.model.CompletionRange;
import notchpick.model.Job;
import notchpick.model.JobRecord;
import notchpick.model.JobStatus;
import notchpick.model.Machine;
import notchpick.model.TaskAssignment;
import notchpick.protocol.Json;
import notchpick.protocol.MachineTypesCodec;
import notchpick.protocol.PeerProtocol;
import notchpick.protocol.peer.Envelope;
import notchpick.protocol.peer.Grant;
import notchpick.protocol.peer.LinkTable;
import notchpick.protocol.peer.Outcome;
import notchpick.protocol.peer.Outcomes;
import notchpick.protocol.peer.Placements;
import notchpick.protocol.peer.Pulse;
import notchpick.protocol.peer.Relay;
import notchpick.protocol.peer.Relayed;
import notchpick.protocol.peer.ReportBatch;
import notchpick.protocol.peer.StateCall;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.NodePool;
import notchpick.scheduling.Resources;
import notchpick.scheduling.TestJobs;
import org.apache.avro.Schema;
import org.apache.avro.SchemaNormalization;
import org.apache.avro.generic.GenericDatumReader;
import org.apache.avro.io.DecoderFactory;
import org.junit.jupiter.api.Test;

/**
 * Tests that this version and the version in production can read each other's stored data and messages, as both run
 * during an upgrade. The files under src/test/resources/production hold data exactly as the production version wrote
 * and sent it. Replace them with data of a newer version only when that version runs everywhere.
 */
class ProductionFormsTest {
    private static final Path FOLDER = Path.of("src/test/resources/production");

    private static ObjectNode stored() throws IOException {
        return Json.object(Files.readAllBytes(FOLDER.resolve("state.json")));
    }

    private static JobSpec spec(int tasks) {
        return TestJobs.job("run-000010")
                .tasks(tasks)
                .demand(new Resources(1, 0, 1.8))
                .types(List.of("m8"))
                .zone("east")
                .deadlineS(60.0)
                .submittedAtMs(5)
                .dependencies(List.of("run-000001"))
                .build();
    }

    @Test
    void jobDescriptionsWithoutDependenciesAreReadable() throws IOException {
        JobSpec spec = JobSpecCodec.decode("run-000006", stored().get("open/run-000006"));
        assertEquals(2, spec.tasks());
        assertEquals(List.of(), spec.dependencies());
        assertEquals(spec.submittedAtMs(), spec.readyAtMs());
        assertEquals(1700000059904L, spec.submittedAtMs());
    }

    @Test
    void jobRecordsWithoutAnEndTimeAreReadable() throws IOException {
        assertEquals(
                new JobRecord(JobStatus.DONE, 60, 60, 0, false), JobRecordCodec.decode(stored().get("job/run-000002")));
        assertEquals(
                new JobRecord(JobStatus.CANCELLED, 8, 0, 0, false),
                JobRecordCodec.decode(stored().get("job/run-000004")));
    }

    @Test
    void packedAndSharedValuesAreReadable() throws IOException {
        assertEquals(8, LaunchRecordCodec.decode(stored().get("start/0")).size());
        assertEquals(4, ReleasedMachinesCodec.decode(stored().get("released")).size());
        assertEquals(
                0.0252,
                CommitmentsCodec.decode(stored().get("commitments")).get("b").cores(),
                0.0001);
        assertEquals(
                1, MachineTypesCodec.decode(stored().get("types")).orElseThrow().size());
        assertEquals(StateKeys.FORMAT, stored().get("term").get("format").asInt());
        RecordedCompletions completions =
                CompletionCodec.decode(stored().get("done/1")).get(0);
        List<Integer> done = new ArrayList<>();
        completions.completed().stream().forEach(done::add);
        assertEquals(List.of(0, 1, 6143, 6144, 12288, 19998), done);
    }

    /** Asserts that the fields and their types are those of the old value, except for fields that readers ignore. */
    private static void assertReadable(String key, JsonNode value, JsonNode old, List<String> ignored) {
        TreeSet<String> fields = new TreeSet<>();
        value.fieldNames().forEachRemaining(fields::add);
        fields.removeAll(ignored);
        TreeSet<String> known = new TreeSet<>();
        old.fieldNames().forEachRemaining(known::add);
        // The old value has no machine types; this field is omitted if a job allows all types.
        fields.remove("types");
        assertEquals(known, fields, key);
        for (String field : known) {
            JsonNode one = old.get(field);
            assertTrue(one.isNull() || one.getNodeType() == value.get(field).getNodeType(), key + " " + field);
        }
    }

    @Test
    void writtenValuesHaveTheProductionFormat() throws IOException {
        ObjectNode old = stored();
        assertEquals(2, StateKeys.FORMAT);
        assertReadable("open/", JobSpecCodec.encode(spec(4)), old.get("open/run-000006"), List.of("needs"));
        List<String> ignored = List.of("endedAt", "service");
        assertReadable("job/", JobRecordCodec.encode(JobRecord.done(spec(4), 7)), old.get("job/run-000002"), ignored);
        JobRecord cancelled = JobRecord.open(spec(4)).cancelled(7);
        assertReadable("job/", JobRecordCodec.encode(cancelled), old.get("job/run-000004"), ignored);
        assertEquals(
                "done",
                JobRecordCodec.encode(JobRecord.done(spec(4), 7)).get("state").asText());
        assertEquals("cancelled", JobRecordCodec.encode(cancelled).get("state").asText());
        Job job = new Job(spec(20), 1);
        job.complete(3);
        JsonNode marks = CompletionCodec.encode(List.of(new CompletionRange(job, 0, 20)));
        assertReadable("done/", marks, old.get("done/0"), List.of());
        assertEquals(
                kinds(old.get("done/0").get("jobs").get(0)),
                kinds(marks.get("jobs").get(0)));
        Machine machine = new Machine("m-1", new NodePool("m8", "east", true), new Resources(8, 0, 64), 0);
        JsonNode starts = LaunchRecordCodec.encode(
                List.of(new TaskAssignment(spec(4), 2, machine, 9, TaskAssignment.Phase.DURABLE)));
        assertReadable("start/", starts, old.get("start/0"), List.of());
        assertEquals(kinds(old.at("/start~10/jobs/run-000008")), kinds(starts.at("/jobs/run-000010")));
        JsonNode place = starts.at("/machines/m-1");
        assertEquals(kinds(old.at("/start~10/machines/m-000003")), kinds(place));
        assertEquals(List.of("STRING", "NUMBER", "NUMBER"), kinds(place.get(3)));
        assertReadable("released", ReleasedMachinesCodec.encode(List.of(machine)), old.get("released"), List.of());
        JsonNode commitments = CommitmentsCodec.encode(Map.of("b", new Resources(0.1, 0, 0)), 1000);
        assertReadable(
                "commitments", commitments.get("b"), old.get("commitments").get("b"), List.of());
    }

    private static List<String> kinds(JsonNode list) {
        List<String> kinds = new ArrayList<>();
        list.forEach(item -> kinds.add(item.getNodeType().name()));
        return kinds;
    }

    @Test
    void keysAreThoseOfProduction() throws IOException {
        TreeSet<String> prefixes = new TreeSet<>();
        stored().fieldNames().forEachRemaining(key -> prefixes.add(key.replaceFirst("/.*", "/")));
        assertEquals(
                prefixes,
                new TreeSet<>(List.of(
                        StateKeys.OPEN_JOBS,
                        StateKeys.JOB_RECORDS,
                        StateKeys.LAUNCHES,
                        StateKeys.COMPLETIONS,
                        StateKeys.RELEASED_MACHINES,
                        StateKeys.COMMITMENTS,
                        StateKeys.LEADER,
                        StateKeys.TERM,
                        StateKeys.MACHINE_TYPES)));
    }

    @Test
    void peerMessagesAndTheirSchemasAreUnchanged() throws IOException {
        Map<String, Class<?>> kinds = Map.of(
                "Grant",
                Grant.class,
                "Placements",
                Placements.class,
                "Pulse",
                Pulse.class,
                "Relay",
                Relay.class,
                "Relayed",
                Relayed.class);
        Map<String, Object> read = new TreeMap<>();
        for (String line : Files.readAllLines(FOLDER.resolve("peer.txt"))) {
            String[] words = line.split(" ", 2);
            byte[] bytes = Base64.getDecoder().decode(words[1]);
            Object body = PeerProtocol.decode(bytes);
            assertNotNull(body, words[0]);
            assertEquals(kinds.get(words[0]), body.getClass());
            assertEquals(words[1], Base64.getEncoder().encodeToString(PeerProtocol.encode(body)));
            read.put(words[0], body);
        }
        assertEquals(kinds.keySet(), read.keySet());
        assertFalse(((Pulse) read.get("Pulse")).getProgress().isEmpty());
        Schema old = productionSchema();
        List<Schema> union = Envelope.getClassSchema().getField("body").schema().getTypes();
        List<Schema> oldUnion = old.getField("body").schema().getTypes();
        Schema known = Schema.createRecord(
                old.getName(),
                null,
                old.getNamespace(),
                false,
                List.of(new Schema.Field("body", Schema.createUnion(union.subList(0, oldUnion.size())))));
        assertEquals(SchemaNormalization.toParsingForm(old), SchemaNormalization.toParsingForm(known));
    }

    private static Schema productionSchema() throws IOException {
        return new Schema.Parser().parse(new File(FOLDER.resolve("peer.avsc").toString()));
    }

    /**
     * Message types added later are at the end of the union. The production version must fail to decode them instead of
     * taking them for another type.
     */
    @Test
    void productionFailsToDecodeLaterMessageTypes() throws IOException {
        ByteBuffer content = ByteBuffer.wrap(new byte[] {1, 2, 3});
        List<Object> later = List.of(
                new ReportBatch(4000L, List.of(content)),
                new StateCall("GET", "/x", null, 1500L),
                new Outcome(200, content),
                new Outcomes(List.of(new Outcome(200, content))),
                new LinkTable("n-0", 1L, null, null, 0L, List.of()));
        Schema old = productionSchema();
        assertEquals(
                old.getField("body").schema().getTypes().size() + later.size(),
                Envelope.getClassSchema().getField("body").schema().getTypes().size());
        for (Object message : later) {
            byte[] bytes = PeerProtocol.encode(message);
            assertEquals(message, PeerProtocol.decode(bytes));
            assertThrows(
                    RuntimeException.class,
                    () -> new GenericDatumReader<>(old)
                            .read(null, DecoderFactory.get().binaryDecoder(bytes, null)),
                    message.getClass().getName());
        }
    }
}

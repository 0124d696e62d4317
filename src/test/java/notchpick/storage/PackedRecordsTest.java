package notchpick.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import notchpick.model.CompletionRange;
import notchpick.model.Job;
import notchpick.model.Machine;
import notchpick.model.TaskAssignment;
import notchpick.model.TaskAssignment.Phase;
import notchpick.protocol.Json;
import notchpick.protocol.StateStoreClient;
import notchpick.protocol.StateStoreTransport;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.NodePool;
import notchpick.scheduling.Resources;
import notchpick.scheduling.TestJobs;
import notchpick.simulation.SimulatedStateStore;
import notchpick.simulation.SimulatedTime;
import notchpick.simulation.StateStoreLimits;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;
import org.junit.jupiter.api.Test;

/** Tests that launches and completions are packed into few writes within the size limits, and that none is lost. */
class PackedRecordsTest {
    private static final int VALUE_BYTES = SimulatedStateStore.MAX_VALUE_BYTES;
    private static final int MAX_WRITES = 12;

    private final SimulatedTime simulation = new SimulatedTime();
    private final EventLoop loop = simulation.newEventLoop(0, 0, () -> true);
    private final SimulatedStateStore state =
            new SimulatedStateStore(simulation::nowMs, simulation::schedule, MAX_WRITES, 300, 60);
    private final StateStoreClient client =
            new StateStoreClient(StateStoreTransport.direct(this::call), loop, "s:1", 1500, 250);
    private final FencedWriter writer = new FencedWriter(client, loop, loop, 0, MAX_WRITES, 42, () -> {});
    private final Set<TaskAssignment> durable = new HashSet<>();
    private final PackedRecords<TaskAssignment> launches = new PackedRecords<>(
            writer,
            StateKeys.LAUNCHES,
            new PackedRecords.Encoding<>(LaunchRecordCodec::maxBytes, LaunchRecordCodec::encode),
            PackedRecords.Packing.WORST_FIT,
            VALUE_BYTES,
            MAX_WRITES,
            durable::addAll);

    private void call(Request call, long timeoutMs, Consumer<Response> then) {
        AtomicBoolean isAnswered = new AtomicBoolean();
        Consumer<Response> once = response -> {
            if (!isAnswered.getAndSet(true)) {
                then.accept(response);
            }
        };
        simulation.schedule(6, () -> state.handle(call, once));
        simulation.schedule(timeoutMs, () -> once.accept(Response.UNANSWERED));
    }

    private static JobSpec spec(String id, int tasks) {
        return TestJobs.job(id)
                .team("the-team")
                .tasks(tasks)
                .demand(new Resources(1, 0, 1.8))
                .build();
    }

    private static TaskAssignment assignment(int number) {
        Machine machine = new Machine(
                "m-" + (100_000 + number % 1125),
                new NodePool("kind-8", "zone-east", true),
                new Resources(8, 0, 16),
                0);
        return new TaskAssignment(
                spec("run-" + (100_000 + number % 300), 1800), number, machine, (7L << 24) + number, Phase.PLANNED);
    }

    private Set<String> stored() {
        Set<String> tasks = new HashSet<>();
        for (int i = 0; state.value(StateKeys.LAUNCHES + i) != null; i++) {
            for (LaunchRecord launch : LaunchRecordCodec.decode(state.value(StateKeys.LAUNCHES + i))) {
                tasks.add(launch.machine() + " " + JobSpec.taskName(launch.job().id(), launch.task()));
            }
        }
        return tasks;
    }

    @Test
    void manyLaunchesTakeFewWritesAndNoneIsLost() {
        List<TaskAssignment> all = new ArrayList<>();
        // 75 launches per second for a minute; each task ends after 20 s.
        for (int i = 0; i < 4500; i++) {
            TaskAssignment assignment = assignment(i);
            all.add(assignment);
            launches.save(assignment);
            if (i >= 1500) {
                launches.remove(all.get(i - 1500));
            }
            // About 50 ms between batches of launches.
            if (i % 4 == 3) {
                simulation.runUntil(simulation.nowMs() + 53);
            }
        }
        simulation.runUntil(simulation.nowMs() + 2000);
        assertTrue(durable.containsAll(all), "all launches are durable");
        assertTrue(state.writes() < 4500 / 3, state.writes() + " writes for 4500 launches");
        Set<String> stored = stored();
        for (TaskAssignment assignment : all.subList(3000, 4500)) {
            assertTrue(
                    stored.contains(assignment.machine().name() + " " + assignment.taskName()), assignment.taskName());
        }
        assertEquals(0, state.transactionsOverRate());
    }

    @Test
    void burstOfLaunchesTakesFewWrites() {
        int count = 3000;
        int bytes = 0;
        for (int i = 0; i < count; i++) {
            bytes += LaunchRecordCodec.maxBytes(assignment(i));
            launches.save(assignment(i));
        }
        simulation.runUntil(10_000);
        assertEquals(count, durable.size());
        assertTrue(state.writes() <= 2 * bytes / VALUE_BYTES + 1, state.writes() + " writes for " + bytes + " bytes");
    }

    @Test
    void unansweredWriteIsRepeated() {
        state.leaveCommitsUnanswered(2, 4000);
        TaskAssignment first = assignment(1);
        launches.save(first);
        simulation.runUntil(1000);
        assertFalse(durable.contains(first));
        TaskAssignment second = assignment(2);
        launches.save(second);
        simulation.runUntil(20_000);
        assertTrue(durable.containsAll(List.of(first, second)));
        assertEquals(2, stored().size());
    }

    @Test
    void compactDeletesRemovedRecords() {
        TaskAssignment ended = assignment(1);
        launches.save(ended);
        simulation.runUntil(1000);
        launches.remove(ended);
        assertEquals(1, stored().size());
        launches.compact();
        simulation.runUntil(2000);
        assertEquals(0, stored().size());
    }

    @Test
    void completionsOfTheLargestJobFitIntoValues() {
        Job job = new Job(spec("run-000001", 100_000), 1);
        int length = VALUE_BYTES * 3;
        for (int first = 0; first < 100_000; first += length) {
            CompletionRange range = new CompletionRange(job, first, Math.min(length, 100_000 - first));
            for (int task = first; task < first + range.count(); task++) {
                job.complete(task);
            }
            JsonNode value = CompletionCodec.encode(List.of(range));
            assertTrue(
                    Json.bytes(value).length <= CompletionCodec.maxBytes(range) + 64, "no larger than the upper bound");
            assertTrue(CompletionCodec.maxBytes(range) + 64 <= VALUE_BYTES);
            range.markSnapshotDurable();
            RecordedCompletions read = CompletionCodec.decode(value).get(0);
            assertEquals(first, read.firstTask());
            assertEquals(range.count(), read.completed().cardinality());
        }
        assertEquals(100_000, job.durablyDoneTasks());
    }

    @Test
    void launchesTakeNoMoreBytesThanTheUpperBound() {
        for (int number : new int[] {0, 9, 1799, 99_999}) {
            TaskAssignment assignment = assignment(number);
            TaskAssignment odd = new TaskAssignment(
                    TestJobs.job("run-1")
                            .team("d\u00e9sk \"1\"\n")
                            .priority(JobSpec.Priority.LOW)
                            .demand(new Resources(0.1 + 0.2, 1e-7, 123456.789))
                            .build(),
                    number,
                    assignment.machine(),
                    Long.MAX_VALUE,
                    Phase.SENT);
            for (TaskAssignment one : List.of(assignment, odd)) {
                int bytes = Json.bytes(LaunchRecordCodec.encode(List.of(one))).length;
                assertTrue(bytes <= LaunchRecordCodec.maxBytes(one) + 64, bytes + " bytes");
            }
        }
    }

    /** Stores a value that is larger than this version may write, as another version left it; returns its records. */
    private List<TaskAssignment> preloadLargeValue(int page, int count) {
        List<TaskAssignment> records = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            records.add(assignment(page * 10_000 + i));
        }
        JsonNode value = LaunchRecordCodec.encode(records);
        assertTrue(Json.bytes(value).length > SMALL_VALUE_BYTES);
        state.preload(StateKeys.LAUNCHES + page, value);
        return records;
    }

    private static final int SMALL_VALUE_BYTES = 2048;

    private PackedRecords<TaskAssignment> smallValues(FencedWriter writer) {
        return new PackedRecords<>(
                writer,
                StateKeys.LAUNCHES,
                new PackedRecords.Encoding<>(LaunchRecordCodec::maxBytes, LaunchRecordCodec::encode),
                PackedRecords.Packing.WORST_FIT,
                SMALL_VALUE_BYTES,
                4,
                durable::addAll);
    }

    @Test
    void oversizedValueIsKeptUntilItsRecordsAreDurableElsewhere() {
        List<TaskAssignment> records = preloadLargeValue(0, 200);
        state.setLimits(new StateStoreLimits(SMALL_VALUE_BYTES, 4, 42));
        FencedWriter smallWriter = new FencedWriter(client, loop, loop, 0, 4, 29, () -> {});
        PackedRecords<TaskAssignment> values = smallValues(smallWriter);
        values.load(StateKeys.LAUNCHES + 0, records);
        smallWriter.recordVersion(StateKeys.LAUNCHES + 0, 1);
        // At any time, each record that has not been removed is in at least one value.
        List<TaskAssignment> removed = new ArrayList<>(records.subList(0, 60));
        removed.forEach(values::remove);
        List<TaskAssignment> changed = records.subList(60, 190);
        changed.forEach(values::save);
        for (int i = 0; i < 400; i++) {
            values.compact();
            simulation.runUntil(simulation.nowMs() + 7);
            Set<String> stored = stored();
            for (TaskAssignment assignment : records.subList(60, 200)) {
                assertTrue(
                        stored.contains(assignment.machine().name() + " " + assignment.taskName()),
                        assignment.taskName());
            }
        }
        assertTrue(durable.containsAll(changed));
        assertEquals(140, stored().size());
        assertTrue(
                Json.bytes(state.value(StateKeys.LAUNCHES + 0)).length <= SMALL_VALUE_BYTES,
                "the oversized value has been rewritten");
        assertEquals(0, state.transactionsTooLarge());
    }

    @Test
    void rejectedValueIsSplitAndDoesNotBlockOtherWrites() {
        state.setLimits(new StateStoreLimits(SMALL_VALUE_BYTES, 12, 42));
        // The values that the settings allow are larger than the state store accepts.
        for (int i = 0; i < 150; i++) {
            launches.save(assignment(i));
        }
        boolean[] other = {false};
        writer.write(
                "other",
                () -> Optional.of(new PreparedChange(
                        List.of(KeyWrite.put("types", Json.object().put("a", 1)).unconditional()),
                        () -> other[0] = true)));
        simulation.runUntil(3000);
        assertTrue(other[0], "other writes are not blocked");
        simulation.runUntil(120_000);
        assertEquals(150, durable.size());
    }
}

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

/** Starts and done marks share values: few writes, none too large, and nothing lost on the way. */
class PackedRecordsTest {
    private static final int VALUE_BYTES = SimulatedStateStore.MAX_VALUE_BYTES;
    private static final int MAX_WRITES = 12;

    private final SimulatedTime simulation = new SimulatedTime();
    private final EventLoop loop = simulation.loop(0, 0, () -> true);
    private final SimulatedStateStore state =
            new SimulatedStateStore(simulation::now, simulation::after, MAX_WRITES, 300, 60);
    private final StateStoreClient api =
            new StateStoreClient(StateStoreTransport.direct(this::call), loop, "s:1", 1500, 250);
    private final FencedWriter writer = new FencedWriter(api, loop, loop, 0, MAX_WRITES, 42, () -> {});
    private final Set<TaskAssignment> durable = new HashSet<>();
    private final PackedRecords<TaskAssignment> starts = new PackedRecords<>(
            writer,
            StateKeys.LAUNCHES,
            new PackedRecords.Encoding<>(LaunchRecordCodec::maxBytes, LaunchRecordCodec::encode),
            PackedRecords.Packing.WORST_FIT,
            VALUE_BYTES,
            MAX_WRITES,
            durable::addAll);

    private void call(Request call, long timeoutMs, Consumer<Response> then) {
        AtomicBoolean answered = new AtomicBoolean();
        Consumer<Response> once = answer -> {
            if (!answered.getAndSet(true)) {
                then.accept(answer);
            }
        };
        simulation.after(6, () -> state.handle(call, once));
        simulation.after(timeoutMs, () -> once.accept(Response.UNANSWERED));
    }

    private static JobSpec spec(String id, int tasks) {
        return TestJobs.job(id)
                .team("the-team")
                .tasks(tasks)
                .demand(new Resources(1, 0, 1.8))
                .build();
    }

    private static TaskAssignment start(int number) {
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
            for (LaunchRecord hint : LaunchRecordCodec.decode(state.value(StateKeys.LAUNCHES + i))) {
                tasks.add(hint.machine() + " " + JobSpec.taskName(hint.job().id(), hint.task()));
            }
        }
        return tasks;
    }

    @Test
    void manyStartsTakeFewWritesAndAllAreThere() {
        List<TaskAssignment> all = new ArrayList<>();
        // 75 a second for a minute, each over after 20 s.
        for (int i = 0; i < 4500; i++) {
            TaskAssignment assignment = start(i);
            all.add(assignment);
            starts.save(assignment);
            if (i >= 1500) {
                starts.remove(all.get(i - 1500));
            }
            // A round every 50 ms or so.
            if (i % 4 == 3) {
                simulation.runUntil(simulation.now() + 53);
            }
        }
        simulation.runUntil(simulation.now() + 2000);
        assertTrue(durable.containsAll(all), "every start has become durable");
        assertTrue(state.writes() < 4500 / 3, state.writes() + " writes for 4500 starts");
        Set<String> stored = stored();
        for (TaskAssignment assignment : all.subList(3000, 4500)) {
            assertTrue(
                    stored.contains(assignment.machine().name() + " " + assignment.taskName()), assignment.taskName());
        }
        assertEquals(0, state.transactionsOverRate());
    }

    @Test
    void aBurstOfStartsTakesNoMoreThanItsBytesNeed() {
        int count = 3000;
        int bytes = 0;
        for (int i = 0; i < count; i++) {
            bytes += LaunchRecordCodec.maxBytes(start(i));
            starts.save(start(i));
        }
        simulation.runUntil(10_000);
        assertEquals(count, durable.size());
        assertTrue(state.writes() <= 2 * bytes / VALUE_BYTES + 1, state.writes() + " writes for " + bytes + " bytes");
    }

    @Test
    void aWriteWithoutAnAnswerIsMadeAgain() {
        state.loseCommits(2, 4000);
        TaskAssignment first = start(1);
        starts.save(first);
        simulation.runUntil(1000);
        assertFalse(durable.contains(first));
        TaskAssignment second = start(2);
        starts.save(second);
        simulation.runUntil(20_000);
        assertTrue(durable.containsAll(List.of(first, second)));
        assertEquals(2, stored().size());
    }

    @Test
    void whatIsOverIsSweptAway() {
        TaskAssignment over = start(1);
        starts.save(over);
        simulation.runUntil(1000);
        starts.remove(over);
        assertEquals(1, stored().size());
        starts.compact();
        simulation.runUntil(2000);
        assertEquals(0, stored().size());
    }

    @Test
    void theLargestJobsMarksFitIntoValues() {
        Job job = new Job(spec("run-000001", 100_000), 1);
        int length = VALUE_BYTES * 3;
        for (int first = 0; first < 100_000; first += length) {
            CompletionRange run = new CompletionRange(job, first, Math.min(length, 100_000 - first));
            for (int task = first; task < first + run.count(); task++) {
                job.complete(task);
            }
            JsonNode value = CompletionCodec.encode(List.of(run));
            assertTrue(Json.bytes(value).length <= CompletionCodec.maxBytes(run) + 64, "no larger than reckoned");
            assertTrue(CompletionCodec.maxBytes(run) + 64 <= VALUE_BYTES);
            run.markSnapshotDurable();
            RecordedCompletions read = CompletionCodec.decode(value).get(0);
            assertEquals(first, read.firstTask());
            assertEquals(run.count(), read.completed().cardinality());
        }
        assertEquals(100_000, job.durablyDoneTasks());
    }

    @Test
    void startsTakeNoMoreBytesThanReckoned() {
        for (int number : new int[] {0, 9, 1799, 99_999}) {
            TaskAssignment assignment = start(number);
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

    /** A value as another version left it, longer than this one may write, with its units as they are loaded. */
    private List<TaskAssignment> leftLong(int key, int count) {
        List<TaskAssignment> left = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            left.add(start(key * 10_000 + i));
        }
        JsonNode value = LaunchRecordCodec.encode(left);
        assertTrue(Json.bytes(value).length > SHORT_BYTES);
        state.preload(StateKeys.LAUNCHES + key, value);
        return left;
    }

    private static final int SHORT_BYTES = 2048;

    private PackedRecords<TaskAssignment> shortValues(FencedWriter writer) {
        return new PackedRecords<>(
                writer,
                StateKeys.LAUNCHES,
                new PackedRecords.Encoding<>(LaunchRecordCodec::maxBytes, LaunchRecordCodec::encode),
                PackedRecords.Packing.WORST_FIT,
                SHORT_BYTES,
                4,
                durable::addAll);
    }

    @Test
    void aValueThatIsTooLongStaysUntilItsUnitsStandElsewhere() {
        List<TaskAssignment> left = leftLong(0, 200);
        state.limits(new StateStoreLimits(SHORT_BYTES, 4, 42));
        FencedWriter small = new FencedWriter(api, loop, loop, 0, 4, 29, () -> {});
        PackedRecords<TaskAssignment> values = shortValues(small);
        values.load(StateKeys.LAUNCHES + 0, left);
        small.recordVersion(StateKeys.LAUNCHES + 0, 1);
        // At each moment all are there that are not over, in whatever value.
        List<TaskAssignment> over = new ArrayList<>(left.subList(0, 60));
        over.forEach(values::remove);
        List<TaskAssignment> changed = left.subList(60, 190);
        changed.forEach(values::save);
        for (int i = 0; i < 400; i++) {
            values.compact();
            simulation.runUntil(simulation.now() + 7);
            Set<String> stored = stored();
            for (TaskAssignment assignment : left.subList(60, 200)) {
                assertTrue(
                        stored.contains(assignment.machine().name() + " " + assignment.taskName()),
                        assignment.taskName());
            }
        }
        assertTrue(durable.containsAll(changed));
        assertEquals(140, stored().size());
        assertTrue(
                Json.bytes(state.value(StateKeys.LAUNCHES + 0)).length <= SHORT_BYTES, "the long one has been written");
        assertEquals(0, state.transactionsTooLarge());
    }

    @Test
    void aValueThatIsNotTakenIsHalvedAndHoldsNothingUp() {
        state.limits(new StateStoreLimits(SHORT_BYTES, 12, 42));
        // These values are longer than the service takes, whatever the settings say.
        for (int i = 0; i < 150; i++) {
            starts.save(start(i));
        }
        boolean[] other = {false};
        writer.write(
                "other",
                () -> Optional.of(new PreparedChange(
                        List.of(KeyWrite.put("types", Json.object().put("a", 1)).unconditional()),
                        () -> other[0] = true)));
        simulation.runUntil(3000);
        assertTrue(other[0], "what is beside it goes on");
        simulation.runUntil(120_000);
        assertEquals(150, durable.size());
    }
}

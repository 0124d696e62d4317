package notchpick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.BitSet;
import java.util.List;
import java.util.stream.IntStream;
import notchpick.protocol.Json;
import notchpick.simulation.ClusterConfig;
import notchpick.simulation.SimulatedCluster;
import notchpick.simulation.SimulatedStateStore;
import notchpick.storage.StateKeys;
import org.junit.jupiter.api.Test;

/**
 * Tests that jobs which an earlier version left open, although it had recorded the completions of all their tasks, are
 * ended by the next leader. The records have the form that the version in production writes.
 */
class StuckJobsTest {
    private static final Path PRODUCTION_STATE = Path.of("src/test/resources/production/state.json");
    private static final int SMALL_JOBS = 1500;
    private static final int JOBS_PER_PAGE = 300;
    /** The production version stored this many tasks per range of a large job. */
    private static final int RANGE_TASKS = 6144;

    private final SimulatedCluster cluster =
            new SimulatedCluster(ClusterConfig.builder().writesPerS(300).build());
    private final SimulatedStateStore stateStore = cluster.stateStore();
    private final ObjectNode production;

    StuckJobsTest() throws IOException {
        production = Json.object(Files.readAllBytes(PRODUCTION_STATE));
    }

    private void preloadOpenJob(String id, String productionJob, int tasks) {
        ObjectNode description = production.get(productionJob).deepCopy();
        stateStore.preload(StateKeys.OPEN_JOBS + id, description.put("tasks", tasks));
    }

    private static void addRange(ArrayNode ranges, String id, int first, int completed) {
        BitSet bits = new BitSet();
        bits.set(0, completed);
        ranges.addArray().add(id).add(first).add(Base64.getEncoder().encodeToString(bits.toByteArray()));
    }

    private void preloadPage(int number, ObjectNode page) {
        stateStore.preload(StateKeys.COMPLETIONS + number, page);
    }

    private void assertDone(String id) {
        assertNull(stateStore.value(StateKeys.OPEN_JOBS + id), id);
        JsonNode record = stateStore.value(StateKeys.JOB_RECORDS + id);
        assertNotNull(record, id);
        assertEquals("done", record.path("state").asText(), id);
    }

    @Test
    void nextLeaderEndsJobsWhoseTasksAreAllRecordedAsCompleted() {
        List<String> jobs = IntStream.range(0, SMALL_JOBS)
                .mapToObj(i -> String.format("run-%06d", 100_000 + i))
                .toList();
        for (int start = 0; start < SMALL_JOBS; start += JOBS_PER_PAGE) {
            ObjectNode page = Json.object();
            ArrayNode ranges = page.putArray("jobs");
            for (String id : jobs.subList(start, start + JOBS_PER_PAGE)) {
                preloadOpenJob(id, "open/run-000006", 2);
                addRange(ranges, id, 0, 2);
            }
            preloadPage(start / JOBS_PER_PAGE, page);
        }
        cluster.runFor(30_000);
        jobs.forEach(this::assertDone);
        assertEquals(0, stateStore.transactionsTooLarge());
        assertEquals(0, stateStore.transactionsOverRate());
    }

    @Test
    void nextLeaderEndsLargeJobRecordedOnSeveralPages() {
        preloadOpenJob("run-000010", "open/run-000010", 2 * RANGE_TASKS + 1);
        int[] completed = {RANGE_TASKS, RANGE_TASKS, 1};
        for (int i = 0; i < completed.length; i++) {
            ObjectNode page = Json.object();
            addRange(page.putArray("jobs"), "run-000010", i * RANGE_TASKS, completed[i]);
            preloadPage(i, page);
        }
        cluster.runFor(10_000);
        assertDone("run-000010");
    }

    @Test
    void jobWithTaskThatIsNotRecordedStaysOpen() {
        preloadOpenJob("run-000011", "open/run-000006", 3);
        ObjectNode page = Json.object();
        addRange(page.putArray("jobs"), "run-000011", 0, 2);
        preloadPage(0, page);
        cluster.runFor(10_000);
        assertNotNull(stateStore.value(StateKeys.OPEN_JOBS + "run-000011"));
        assertNull(stateStore.value(StateKeys.JOB_RECORDS + "run-000011"));
    }
}

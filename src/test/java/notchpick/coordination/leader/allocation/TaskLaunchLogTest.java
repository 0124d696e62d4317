package notchpick.coordination.leader.allocation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import notchpick.coordination.Deployment;
import notchpick.coordination.Deployment.Quota;
import notchpick.coordination.TestDeployments;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.ClusterState;
import notchpick.model.Job;
import notchpick.model.Machine;
import notchpick.model.MachineTypeCatalog;
import notchpick.protocol.Json;
import notchpick.protocol.StateStoreClient;
import notchpick.protocol.StateStoreClient.Entry;
import notchpick.protocol.StateStoreClient.Listing;
import notchpick.protocol.StateStoreTransport;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.NodePool;
import notchpick.scheduling.Resources;
import notchpick.scheduling.RuntimeEstimator;
import notchpick.simulation.SimulatedTime;
import notchpick.storage.FencedWriter;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller.Response;
import org.junit.jupiter.api.Test;

/** What a new leader takes from the launch records of a former one. */
class TaskLaunchLogTest {
    private static final String RECORDS = """
            {"jobs": {"run-000001": ["a", 1.0, 0.0, 1.0]},
             "machines": {"m-000001": ["m8", "east", true, ["run-000001", 0, 5]],
                          "m-000002": ["m8", "west", true, ["run-000001", 1, 6]]}}
            """;

    private final EventLoop loop = new SimulatedTime().newEventLoop(0, 0, () -> true);
    private final ClusterState cluster = new ClusterState(ended -> {});
    private final Deployment deployment = TestDeployments.deployment(
            TestDeployments.TIMING, List.of(), List.of(new Quota("a", Resources.NONE, Resources.NONE)));
    private final TermContext context =
            new TermContext(7, loop, loop, deployment, cluster, new MachineTypeCatalog(), new RuntimeEstimator());
    private final StateStoreClient stateStore = new StateStoreClient(
            StateStoreTransport.direct((call, timeoutMs, then) -> then.accept(Response.UNANSWERED)),
            loop,
            "s:1",
            1500,
            250);
    private final TaskLaunchLog launches = new TaskLaunchLog(
            context, new FencedWriter(stateStore, loop, loop, 0, 4, 42, () -> {}), new TaskLaunchLog.Listener() {
                @Override
                public void launchesRecorded(Machine machine) {}

                @Override
                public void jobsFoundEnded(List<String> jobs) {}
            });

    private void loadWithFirstTaskDone(JobSpec.Builder spec) {
        Job job = new Job(
                spec.team("a")
                        .tasks(4)
                        .demand(new Resources(1, 0, 1))
                        .spot(true)
                        .build(),
                1);
        job.complete(0);
        cluster.addJob(job);
        launches.load(new Listing(
                List.of(new Entry("start/0", Json.object(RECORDS.getBytes(StandardCharsets.UTF_8)), 3, 0)), false, 3));
    }

    @Test
    void secondAttemptOfCompletedTaskStillCountsInItsZone() {
        loadWithFirstTaskDone(JobSpec.builder("run-000001").colocated(true));
        assertEquals(Map.of("east", 1, "west", 1), cluster.tasksByZone("run-000001"));
    }

    @Test
    void recordsThatContradictEachOtherAreRead() {
        cluster.addMachine(new Machine("m-000001", new NodePool("g8", "west", false), Resources.NONE, 0));
        loadWithFirstTaskDone(JobSpec.builder("run-000001").colocated(true));
        assertEquals(Map.of("west", 2), cluster.tasksByZone("run-000001"));
    }

    @Test
    void recordOfCompletedTaskHoldsNothingIfZonesDoNotMatter() {
        loadWithFirstTaskDone(JobSpec.builder("run-000001"));
        assertEquals(Map.of("west", 1), cluster.tasksByZone("run-000001"));
    }
}

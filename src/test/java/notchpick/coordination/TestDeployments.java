package notchpick.coordination;

import java.util.List;
import notchpick.coordination.Deployment.Peer;
import notchpick.coordination.Deployment.Quota;
import notchpick.coordination.Deployment.StateStoreLimits;
import notchpick.coordination.Deployment.WorkerTiming;
import notchpick.scheduling.ServiceObjectives;

/** Creates deployments for tests from the few settings that each test needs. */
public final class TestDeployments {
    /** A heartbeat period of 3 s, a worker lease of 20 s, and a cancellation timeout of 40 s. */
    public static final WorkerTiming TIMING = new WorkerTiming(3, 20, 40);

    private static final StateStoreLimits LIMITS = new StateStoreLimits(100, 100, 16 << 10, 12);

    private TestDeployments() {}

    /** A deployment of controller "n-0" alone, with this timing. */
    public static Deployment deployment(WorkerTiming timing) {
        return deployment(timing, List.of(), List.of());
    }

    /** A deployment of controller "n-0" with these peers and quotas, in zone "east". */
    public static Deployment deployment(WorkerTiming timing, List<Peer> peers, List<Quota> quotas) {
        return new Deployment(
                "n-0",
                "a:1",
                "a:2",
                peers,
                "c:1",
                "s:1",
                List.of("east"),
                quotas,
                ServiceObjectives.NONE,
                timing,
                LIMITS,
                5,
                100);
    }
}

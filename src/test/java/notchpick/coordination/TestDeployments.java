package notchpick.coordination;

import java.util.List;
import notchpick.coordination.Deployment.Peer;
import notchpick.coordination.Deployment.Quota;
import notchpick.coordination.Deployment.StateStoreLimits;
import notchpick.coordination.Deployment.WorkerTiming;
import notchpick.scheduling.ServiceObjectives;

/** Makes deployments for tests, which set only what they are about. */
public final class TestDeployments {
    /** A heartbeat period of 3 s, a worker lease of 20 s, and 40 s for a cancellation. */
    public static final WorkerTiming TIMING = new WorkerTiming(3, 20, 40);

    private static final StateStoreLimits LIMITS = new StateStoreLimits(100, 100, 16 << 10, 12);

    private TestDeployments() {}

    /** Controller "n-0" alone, with this timing. */
    public static Deployment deployment(WorkerTiming timing) {
        return deployment(timing, List.of(), List.of());
    }

    /** Controller "n-0" with these peers and teams, in zone "east". */
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

package notchpick.coordination.leader.term;

import notchpick.coordination.Deployment;
import notchpick.model.ClusterState;
import notchpick.model.MachineTypeCatalog;
import notchpick.scheduling.RuntimeEstimator;
import notchpick.transport.EventLoop;
import notchpick.transport.Timer;

/**
 * What the parts of a leader share during one term. All parts run on the leader's actor, one at a time.
 *
 * @param term the term number, which is also the fencing token
 * @param timer runs work on the leader's actor; work still scheduled when the term ends is dropped
 */
public record TermContext(
        long term,
        EventLoop loop,
        Timer timer,
        Deployment deployment,
        ClusterState cluster,
        MachineTypeCatalog machineTypes,
        RuntimeEstimator runtimes) {
    /** The current time of the monotonic clock, in milliseconds. */
    public long nowMs() {
        return loop.nowMs();
    }

    public long heartbeatPeriodMs() {
        return deployment.heartbeatPeriodMs();
    }
}

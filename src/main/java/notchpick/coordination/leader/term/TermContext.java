package notchpick.coordination.leader.term;

import notchpick.coordination.Deployment;
import notchpick.model.ClusterState;
import notchpick.model.MachineTypeCatalog;
import notchpick.scheduling.RuntimeEstimator;
import notchpick.transport.EventLoop;
import notchpick.transport.Timer;

/**
 * What the parts of a leader share during its term. All of them run in the leader's turn.
 *
 * @param term the number of the term, which is also the fencing token
 * @param timer runs work in the leader's turn; what is left is dropped when the term ends
 */
public record TermContext(
        long term,
        EventLoop loop,
        Timer timer,
        Deployment deployment,
        ClusterState cluster,
        MachineTypeCatalog machineTypes,
        RuntimeEstimator runtimes) {
    /** The steady clock, in milliseconds. */
    public long nowMs() {
        return loop.nowMs();
    }

    public long heartbeatPeriodMs() {
        return deployment.heartbeatPeriodMs();
    }
}

package notchpick.simulation;

import java.util.Map;

/**
 * What all workers of a deployment share.
 *
 * @param jobs what is true of the tasks that users submitted
 * @param listener is notified of what happens on the machines
 * @param controllers addresses of all controllers, by name
 * @param checkpoints work saved outside the machines: run time in milliseconds, by task
 */
public record WorkerEnvironment(
        SimulatedTime time,
        InvariantChecker invariants,
        SimulatedWorker.JobBehavior jobs,
        SimulatedWorker.Listener listener,
        Map<String, String> controllers,
        WorkerTiming timing,
        Map<String, Long> checkpoints) {}

package notchpick.simulation;

import java.util.Map;

/**
 * The objects that all workers of a deployment share.
 *
 * @param jobs how the tasks of submitted jobs behave
 * @param listener receives the events of all workers
 * @param controllers the addresses of all controllers, by name
 * @param checkpoints the run time in milliseconds that a task has saved in checkpoints, by task; outlives machines
 */
public record WorkerEnvironment(
        SimulatedTime time,
        InvariantChecker invariants,
        SimulatedWorker.JobBehavior jobs,
        SimulatedWorker.Listener listener,
        Map<String, String> controllers,
        WorkerTiming timing,
        Map<String, Long> checkpoints) {}

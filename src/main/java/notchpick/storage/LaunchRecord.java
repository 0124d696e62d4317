package notchpick.storage;

import notchpick.scheduling.JobSpec;
import notchpick.scheduling.NodePool;

/**
 * A recorded launch: this attempt of the task may be on the machine.
 *
 * @param job only the id, the team and the demand are recorded; null if the record does not describe the job
 */
public record LaunchRecord(String machine, NodePool pool, JobSpec job, int task, long attempt) {}

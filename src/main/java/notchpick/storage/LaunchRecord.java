package notchpick.storage;

import notchpick.scheduling.JobSpec;
import notchpick.scheduling.NodePool;

/**
 * A recorded launch: this attempt of the task may be on the machine.
 *
 * @param job holds only the recorded id, team and demand; null if the stored value does not describe the job
 */
public record LaunchRecord(String machine, NodePool pool, JobSpec job, int task, long attempt) {}

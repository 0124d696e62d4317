package notchpick.storage;

import notchpick.scheduling.FleetPlanner.Pool;
import notchpick.scheduling.JobSpec;

/**
 * A recorded launch: this attempt of the task may be on the machine.
 *
 * @param job only the id, the team and the demand are recorded; null if the record does not describe the job
 */
public record LaunchRecord(String machine, Pool pool, JobSpec job, int task, long attempt) {}

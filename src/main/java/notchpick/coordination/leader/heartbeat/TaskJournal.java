package notchpick.coordination.leader.heartbeat;

import notchpick.model.Job;
import notchpick.model.TaskAssignment;

/** Writes the task changes that heartbeats report to the state store. */
public interface TaskJournal {
    /** Records a completed task; called once, for the first heartbeat that reports the completion. */
    void recordCompletion(Job job, int task);

    /** Records the launch of a task that a worker runs without a launch record of this leader. */
    void recordAdoption(TaskAssignment assignment);
}

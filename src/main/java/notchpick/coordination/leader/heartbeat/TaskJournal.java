package notchpick.coordination.leader.heartbeat;

import notchpick.model.Job;
import notchpick.model.TaskAssignment;

/** Makes the task changes that heartbeats report durable. */
public interface TaskJournal {
    /** A worker reports for the first time that the task has completed. */
    void taskCompleted(Job job, int task);

    /** A worker runs a task of which no launch was recorded by this leader. */
    void taskAdopted(TaskAssignment assignment);
}

/** The leader's view of jobs: which are open, what they depend on, and which of their tasks have completed. */
package notchpick.coordination.leader.jobs;

/**
 * The leader, which makes the scheduling decisions of the cluster during one term.
 * {@link notchpick.coordination.leader.Leader} connects its parts: heartbeats, allocation, jobs and scaling, each in a
 * package that does not depend on the others.
 */
package notchpick.coordination.leader;

/**
 * Worker heartbeats: {@link notchpick.coordination.leader.heartbeat.HeartbeatValidator} decides whether one counts,
 * {@link notchpick.coordination.leader.heartbeat.HeartbeatReconciler} brings the cluster state in line with it,
 * {@link notchpick.coordination.leader.heartbeat.CommandPlanner} decides the commands, and
 * {@link notchpick.coordination.leader.heartbeat.HeartbeatHandler} replies.
 */
package notchpick.coordination.leader.heartbeat;

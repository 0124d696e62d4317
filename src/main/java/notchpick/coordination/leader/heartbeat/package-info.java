/**
 * Worker heartbeats: {@link notchpick.coordination.leader.heartbeat.HeartbeatValidator} decides whether to accept one,
 * {@link notchpick.coordination.leader.heartbeat.HeartbeatReconciler} updates the cluster state from it,
 * {@link notchpick.coordination.leader.heartbeat.CommandPlanner} decides the commands, and
 * {@link notchpick.coordination.leader.heartbeat.HeartbeatHandler} replies.
 */
package notchpick.coordination.leader.heartbeat;

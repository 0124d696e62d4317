/**
 * Tracks which controllers are alive, elects the leader, and keeps controllers, workers and the state store connected
 * when links between them fail.
 *
 * <ul>
 *   <li>Links: {@link notchpick.coordination.membership.LinkMonitor} tracks the health of each link from its traffic.
 *   <li>Peers: {@link notchpick.coordination.membership.PeerMembership} exchanges heartbeats,
 *       {@link notchpick.coordination.membership.PeerRegistry} stores the newest ones, and
 *       {@link notchpick.coordination.membership.PeerClient} sends requests.
 *   <li>Leadership: {@link notchpick.coordination.membership.LeaderElection}.
 *   <li>Failover: {@link notchpick.coordination.membership.FailoverStateStoreTransport} and
 *       {@link notchpick.coordination.membership.HeartbeatRouter} use another controller as a relay, over at most one
 *       hop.
 * </ul>
 *
 * <p>Link and peer health may be stale or wrong. It is only used to choose a controller and a path. Whether a task, a
 * machine or a term is free is decided by leases and conditional transactions alone: if it were decided by health,
 * a task could run twice, or two leaders could act at once.
 */
package notchpick.coordination.membership;

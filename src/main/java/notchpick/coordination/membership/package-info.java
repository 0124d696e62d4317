/**
 * Which controllers are alive, which of them leads, and how a controller reaches the others, the workers and the state
 * store when links between them fail.
 *
 * <ul>
 *   <li>Links: {@link notchpick.coordination.membership.LinkMonitor} derives each link's condition from its traffic.
 *   <li>Peers: {@link notchpick.coordination.membership.PeerMembership} exchanges heartbeats,
 *       {@link notchpick.coordination.membership.PeerRegistry} holds the last heartbeat and link table of each, and
 *       {@link notchpick.coordination.membership.PeerClient} sends requests.
 *   <li>Leadership: {@link notchpick.coordination.membership.LeaderElection}.
 *   <li>Failover: {@link notchpick.coordination.membership.FailoverStateStoreTransport} and
 *       {@link notchpick.coordination.membership.HeartbeatRouter} use another controller as a relay, at most one hop.
 * </ul>
 *
 * <p>The observed condition of links and peers may be wrong. It may decide only where and over which path requests are
 * sent. Whether a task, a machine or a term is released depends on leases and conditional transactions alone; a release
 * based on a wrong observation could let a task run twice or two leaders act at once.
 */
package notchpick.coordination.membership;

/**
 * Which controllers are alive, which of them leads, and how a controller reaches the others, the workers and the state
 * store when links between them fail.
 *
 * <ul>
 *   <li>Links: {@link notchpick.coordination.membership.LinkMonitor} judges each link by the traffic that flows over it.
 *   <li>Peers: {@link notchpick.coordination.membership.PeerMembership} exchanges heartbeats,
 *       {@link notchpick.coordination.membership.PeerRegistry} holds what they say, and
 *       {@link notchpick.coordination.membership.PeerClient} sends requests.
 *   <li>Leadership: {@link notchpick.coordination.membership.LeaderElection}.
 *   <li>Failover: {@link notchpick.coordination.membership.FailoverStateStoreTransport} and
 *       {@link notchpick.coordination.membership.HeartbeatRouter} use another controller as a relay, one hop at the most.
 * </ul>
 *
 * <p>What is known of links and peers is opinion: it chooses whom to ask and over which path. What frees a task, a
 * machine or a term rests on leases and on conditional transactions alone.
 */
package notchpick.coordination.membership;

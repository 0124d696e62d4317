/**
 * The leader, which acts for all controllers during one term. {@link notchpick.coordination.leader.Leader} composes the
 * parts: heartbeats, allocation, jobs and scaling each have a package, and know nothing of each other.
 */
package notchpick.coordination.leader;

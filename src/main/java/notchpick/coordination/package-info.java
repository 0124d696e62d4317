/**
 * The work of a controller: membership and leader election, the leader's decisions, and the interface for users, each in
 * a package of its own. This package holds what they share: the deployment and its time bounds, the operators' tuning,
 * and the outcomes of jobs.
 */
package notchpick.coordination;

/**
 * The functions of a controller, each in its own package: membership and leader election, the leader's decisions, and
 * the interface for users. This package contains what they share: the deployment and its time bounds, the operators'
 * tuning, and the outcomes of jobs.
 */
package notchpick.coordination;

/** What the parts of a leader share during one term: its authority, the cluster state, and timers. */
package notchpick.coordination.leader.term;

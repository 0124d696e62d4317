/**
 * The HTTP interface for users. Every controller serves it, whether or not there is a leader. Whatever a reply confirms
 * is durable in the state store, and whether a job is open or has ended is read from the state store after the request
 * arrived, unless its final outcome is cached. Counts of running tasks are for display only.
 */
package notchpick.coordination.userapi;

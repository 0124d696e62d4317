/**
 * The HTTP interface for users, served by every controller alike. What is confirmed to a user is durable in the state
 * store, and what a user is told has been read from there after the question arrived. It needs no leader.
 */
package notchpick.coordination.userapi;

/**
 * The HTTP interface for users, served by every controller alike. What is confirmed to a user is durable in the state
 * store, and every status in a reply has been read from there after the request arrived. It needs no leader.
 */
package notchpick.coordination.userapi;

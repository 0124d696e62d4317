/**
 * A deployment in simulated time: real controllers among stand-ins for the cloud, the state store, the workers and
 * the users, each written from its published protocol, and checkers of the protocol's rules. All that happens follows
 * from the seed, so a failed run can be repeated.
 */
package notchpick.simulation;

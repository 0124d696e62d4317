/**
 * A deployment in simulated time: the real controllers with a simulated cloud, state store, workers and users, each of
 * which implements the published protocol, and checkers of the protocol's rules. Every run is determined by its seed,
 * so that a failed run can be repeated.
 */
package notchpick.simulation;

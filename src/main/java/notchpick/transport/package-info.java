/**
 * Messages between and within processes: HTTP by Jetty's server and client, and the event loop that a process's actors
 * share. Nothing here knows what the messages mean.
 *
 * <p>Threads and their owners: Jetty's thread pool and scheduler belong to whoever starts the process and are passed to
 * {@link notchpick.transport.JettyHttpServer} and {@link notchpick.transport.JettyHttpCaller}, which run their selectors
 * on them; the thread of the timers and the queue of waiting work belong to {@link notchpick.transport.SerialEventLoop}.
 */
package notchpick.transport;

/**
 * Communication between and within processes: HTTP with Jetty's server and client, and the event loop that the actors
 * of a process share. The content of the messages is not interpreted here.
 *
 * <p>Threads and their owners: Jetty's thread pool and scheduler are owned by the code that starts the process. It
 * passes them to {@link notchpick.transport.JettyHttpServer} and {@link notchpick.transport.JettyHttpCaller}, whose
 * selectors run on them. {@link notchpick.transport.SerialEventLoop} owns the timer thread and the queue of waiting
 * work.
 */
package notchpick.transport;

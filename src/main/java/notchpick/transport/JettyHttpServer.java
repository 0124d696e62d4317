package notchpick.transport;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;
import org.eclipse.jetty.util.thread.ThreadPool;

/**
 * Serves HTTP with Jetty, with one connector for each address. The thread pool and the scheduler are owned by the code
 * that creates this object; {@link #close} stops only the server and its connections.
 */
public final class JettyHttpServer implements AutoCloseable {
    /** The limit that the protocol sets for request bodies of users and workers. */
    private static final int MAX_BODY_BYTES = 64 << 10;
    /** The limit for request bodies of other controllers, whose grants may be longer than what users may send. */
    private static final int MAX_PEER_BODY_BYTES = 4 << 20;

    private static final int OUTPUT_BUFFER_BYTES = 8 << 10;
    private static final int ACCEPT_QUEUE_LENGTH = 256;
    private static final int NO_CONNECTION_LIMIT = 0;

    private final Server server;

    /**
     * An address to serve.
     *
     * @param address {@code host:port}
     * @param maxConnections the maximum number of connections, or {@link #NO_CONNECTION_LIMIT}
     * @param idleTimeoutAtLimitMs the idle timeout while this maximum is reached
     */
    public record Endpoint(
            String address, HttpHandler handler, int maxBodyBytes, int maxConnections, long idleTimeoutAtLimitMs) {
        /**
         * An endpoint for users and workers. The number of their connections is limited, so that other controllers can
         * still connect and this controller can still send requests.
         */
        public static Endpoint forClients(
                String address, HttpHandler handler, int maxConnections, long idleTimeoutAtLimitMs) {
            return new Endpoint(address, handler, MAX_BODY_BYTES, maxConnections, idleTimeoutAtLimitMs);
        }

        /** An endpoint for the other controllers, without a connection limit. */
        public static Endpoint forPeers(String address, HttpHandler handler) {
            return new Endpoint(address, handler, MAX_PEER_BODY_BYTES, NO_CONNECTION_LIMIT, 0);
        }

        private String host() {
            return address.substring(0, address.lastIndexOf(':'));
        }

        private int port() {
            return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        }
    }

    /** Creates a server without starting it. */
    public JettyHttpServer(
            ThreadPool threads,
            Scheduler scheduler,
            ByteBufferPool buffers,
            List<Endpoint> endpoints,
            long idleTimeoutMs) {
        server = new Server(threads, scheduler, buffers);
        HttpConfiguration config = httpConfiguration();
        Map<String, Endpoint> endpointsByAddress = new HashMap<>();
        for (Endpoint endpoint : endpoints) {
            endpointsByAddress.put(endpoint.address(), endpoint);
            ServerConnector connector =
                    new ServerConnector(server, null, scheduler, buffers, 0, 1, new HttpConnectionFactory(config));
            configure(connector, endpoint, idleTimeoutMs);
            server.addConnector(connector);
        }
        server.setHandler(new Dispatcher(endpointsByAddress));
    }

    /** Starts listening; fails if an address can't be bound. */
    public void start() throws Exception {
        server.start();
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() {
        LifeCycle.stop(server);
    }

    private static HttpConfiguration httpConfiguration() {
        HttpConfiguration config = new HttpConfiguration();
        config.setSendServerVersion(false);
        config.setSendDateHeader(false);
        // The header cache would take 100 KB for each connection, and there are thousands of connections.
        config.setHeaderCacheSize(0);
        config.setOutputBufferSize(OUTPUT_BUFFER_BYTES);
        return config;
    }

    private static void configure(ServerConnector connector, Endpoint endpoint, long idleTimeoutMs) {
        connector.setName(endpoint.address());
        connector.setHost(endpoint.host());
        connector.setPort(endpoint.port());
        connector.setIdleTimeout(idleTimeoutMs);
        connector.setAcceptQueueSize(ACCEPT_QUEUE_LENGTH);
        if (endpoint.maxConnections() != NO_CONNECTION_LIMIT) {
            connector.addBean(
                    new IdleConnectionLimit(endpoint.maxConnections(), connector, endpoint.idleTimeoutAtLimitMs()));
        }
    }

    /** Passes each request to the handler of the address at which it arrived. */
    private static final class Dispatcher extends Handler.Abstract.NonBlocking {
        private final Map<String, Endpoint> endpointsByAddress;

        Dispatcher(Map<String, Endpoint> endpointsByAddress) {
            this.endpointsByAddress = endpointsByAddress;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            String address = request.getConnectionMetaData().getConnector().getName();
            serve(endpointsByAddress.get(address), request, response, callback);
            return true;
        }
    }

    // asByteArrayAsync is deprecated, but Jetty 12.0 has no replacement that returns the body as an array.
    @SuppressWarnings("removal")
    private static void serve(Endpoint endpoint, Request request, Response response, Callback callback) {
        if (request.getLength() > endpoint.maxBodyBytes()) {
            refuse(response, callback);
            return;
        }
        var unused = Content.Source.asByteArrayAsync(request, endpoint.maxBodyBytes())
                .whenComplete((body, failure) -> {
                    if (failure != null) {
                        refuse(response, callback);
                        return;
                    }
                    try {
                        endpoint.handler()
                                .handle(
                                        new HttpCaller.Request(
                                                null,
                                                request.getMethod(),
                                                request.getHttpURI().getPathQuery(),
                                                body),
                                        answer -> send(answer, response, callback));
                    } catch (RuntimeException e) {
                        send(HttpCaller.Response.empty(HttpStatus.INTERNAL_SERVER_ERROR), response, callback);
                    }
                });
    }

    /** Refuses a request whose body is too long or incomplete, and closes the connection, which can't be reused. */
    private static void refuse(Response response, Callback callback) {
        send(HttpCaller.Response.empty(HttpStatus.BAD_REQUEST).closingConnection(), response, callback);
    }

    private static void send(HttpCaller.Response answer, Response response, Callback callback) {
        response.setStatus(answer.status());
        if (answer.retryAfterS() > 0) {
            response.getHeaders().put(HttpHeader.RETRY_AFTER, answer.retryAfterS());
        }
        if (answer.closesConnection()) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, answer.body().length);
        response.write(true, ByteBuffer.wrap(answer.body()), callback);
    }
}

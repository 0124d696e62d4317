package notchpick.transport;

import java.nio.ByteBuffer;
import java.util.Map;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;
import org.eclipse.jetty.util.thread.ThreadPool;

/** Jetty's server, with one connector for each address that is served. */
public final class JettyHttpServer {
    /** The protocol's limit for a request body. */
    private static final int MAX_BODY_BYTES = 64 << 10;
    /** Between controllers a grant may be longer than what users may send. */
    private static final int MAX_PEER_BODY_BYTES = 4 << 20;

    private final Server server;

    /**
     * Serves each {@code address:port} with its handler.
     *
     * @param connections so many are taken in at the most from others than peers; when there are, those that lie
     *     idle end sooner
     * @param crowdedIdleMs how soon
     */
    public JettyHttpServer(
            ThreadPool threads,
            Scheduler scheduler,
            ByteBufferPool buffers,
            Map<String, HttpHandler> served,
            String peerAddress,
            long idleTimeoutMs,
            int connections,
            long crowdedIdleMs) {
        server = new Server(threads, scheduler, buffers);
        HttpConfiguration config = new HttpConfiguration();
        config.setSendServerVersion(false);
        config.setSendDateHeader(false);
        // Each connection would keep 100 KB for its cache of header fields, and there are thousands.
        config.setHeaderCacheSize(0);
        config.setOutputBufferSize(8 << 10);
        for (String address : served.keySet()) {
            int colon = address.lastIndexOf(':');
            ServerConnector connector =
                    new ServerConnector(server, null, scheduler, buffers, 0, 1, new HttpConnectionFactory(config));
            connector.setName(address);
            connector.setHost(address.substring(0, colon));
            connector.setPort(Integer.parseInt(address.substring(colon + 1)));
            connector.setIdleTimeout(idleTimeoutMs);
            connector.setAcceptQueueSize(256);
            if (!address.equals(peerAddress)) {
                // Users and workers must not keep the other controllers out, nor this one's own calls in.
                connector.addBean(new IdleConnectionLimit(connections, connector, crowdedIdleMs));
            }
            server.addConnector(connector);
        }
        server.setHandler(new org.eclipse.jetty.server.Handler.Abstract.NonBlocking() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) {
                String name = request.getConnectionMetaData().getConnector().getName();
                int limit = name.equals(peerAddress) ? MAX_PEER_BODY_BYTES : MAX_BODY_BYTES;
                serve(served.get(name), limit, request, response, callback);
                return true;
            }
        });
    }

    public void start() throws Exception {
        server.start();
    }

    public void stop() throws Exception {
        server.stop();
    }

    // Jetty 12.0 has no successor yet that gives the body as an array.
    @SuppressWarnings("removal")
    private static void serve(HttpHandler handler, int limit, Request request, Response response, Callback callback) {
        if (request.getLength() > limit) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
            send(new HttpCaller.Response(400, new byte[0]), response, callback);
            return;
        }
        var unused = Content.Source.asByteArrayAsync(request, limit).whenComplete((body, failure) -> {
            if (failure != null) {
                response.getHeaders().put(HttpHeader.CONNECTION, "close");
                send(new HttpCaller.Response(400, new byte[0]), response, callback);
                return;
            }
            try {
                handler.handle(
                        new HttpCaller.Request(
                                null, request.getMethod(), request.getHttpURI().getPathQuery(), body),
                        answer -> send(answer, response, callback));
            } catch (RuntimeException e) {
                send(new HttpCaller.Response(500, new byte[0]), response, callback);
            }
        });
    }

    private static void send(HttpCaller.Response answer, Response response, Callback callback) {
        response.setStatus(answer.status());
        if (answer.retryAfterS() > 0) {
            response.getHeaders().put(HttpHeader.RETRY_AFTER, answer.retryAfterS());
        }
        if (answer.isLast()) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, answer.body().length);
        response.write(true, ByteBuffer.wrap(answer.body()), callback);
    }
}

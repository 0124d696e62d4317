package notchpick.transport;

import java.net.ConnectException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.SocketAddressResolver;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.Scheduler;
import org.eclipse.jetty.util.thread.ThreadPool;

/**
 * Sends requests with Jetty's client, over a bounded number of connections to each target. The thread pool and the
 * scheduler are owned by the code that creates this object; {@link #close} closes only the connections.
 */
public final class JettyHttpCaller implements HttpCaller, AutoCloseable {
    /** Does not load the trusted certificates: TLS is not used, and loading them would delay the start. */
    private static final class NoTls extends SslContextFactory.Client {
        @Override
        protected void doStart() {
            // Loads no certificates.
        }
    }

    private static final class PlainConnector extends ClientConnector {
        @Override
        protected SslContextFactory.Client newSslContextFactory() {
            return new NoTls();
        }
    }

    private static final int MAX_RESPONSE_BYTES = 16 << 20;
    /** The idle timeout exceeds the request timeout by this margin, so that the request timeout expires first. */
    private static final long IDLE_TIMEOUT_MARGIN_MS = 1000;

    private final HttpClient client;

    public JettyHttpCaller(ThreadPool threads, Scheduler scheduler, int maxConnectionsPerTarget, long connectTimeoutMs)
            throws Exception {
        ClientConnector connector = new PlainConnector();
        connector.setSelectors(1);
        connector.setExecutor(threads);
        connector.setScheduler(scheduler);
        client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        client.setExecutor(threads);
        client.setScheduler(scheduler);
        client.setSocketAddressResolver(new SocketAddressResolver.Sync());
        client.setMaxConnectionsPerDestination(maxConnectionsPerTarget);
        client.setConnectTimeout(connectTimeoutMs);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.start();
        client.getContentDecoderFactories().clear();
        client.getProtocolHandlers().clear();
    }

    /** Closes all connections. */
    @Override
    public void close() {
        LifeCycle.stop(client);
    }

    @Override
    public void call(Request request, long timeoutMs, Consumer<Response> callback) {
        try {
            var sent = client.newRequest("http://" + request.target() + request.path())
                    .method(request.method())
                    .timeout(timeoutMs, TimeUnit.MILLISECONDS)
                    .idleTimeout(timeoutMs + IDLE_TIMEOUT_MARGIN_MS, TimeUnit.MILLISECONDS);
            if (request.body() != null) {
                sent.body(new BytesRequestContent("application/json", request.body()));
            }
            sent.send(new BufferingResponseListener(MAX_RESPONSE_BYTES) {
                @Override
                public void onComplete(Result result) {
                    callback.accept(response(result, getContent()));
                }
            });
        } catch (RuntimeException e) {
            callback.accept(Response.UNANSWERED);
        }
    }

    private static Response response(Result result, byte[] body) {
        if (result.isFailed()) {
            return result.getFailure() instanceof ConnectException ? Response.CONNECTION_REFUSED : Response.UNANSWERED;
        }
        int status = result.getResponse().getStatus();
        return body == null ? Response.empty(status) : Response.of(status, body);
    }
}

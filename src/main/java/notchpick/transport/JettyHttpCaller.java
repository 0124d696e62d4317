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
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.Scheduler;
import org.eclipse.jetty.util.thread.ThreadPool;

/** Outgoing calls by Jetty's client, with a bounded number of connections per target. */
public final class JettyHttpCaller implements HttpCaller {
    /** Nothing is called over TLS; reading the trusted certificates would take a third of the start. */
    private static final class NoTls extends SslContextFactory.Client {
        @Override
        protected void doStart() {
            // Left out on purpose.
        }
    }

    private static final int MAX_RESPONSE_BYTES = 16 << 20;
    private final HttpClient client;

    public JettyHttpCaller(ThreadPool threads, Scheduler scheduler, int connectionsPerTarget, long connectTimeoutMs)
            throws Exception {
        ClientConnector connector = new ClientConnector() {
            @Override
            protected SslContextFactory.Client newSslContextFactory() {
                return new NoTls();
            }
        };
        connector.setSelectors(1);
        connector.setExecutor(threads);
        connector.setScheduler(scheduler);
        client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        client.setExecutor(threads);
        client.setScheduler(scheduler);
        client.setSocketAddressResolver(new SocketAddressResolver.Sync());
        client.setMaxConnectionsPerDestination(connectionsPerTarget);
        client.setConnectTimeout(connectTimeoutMs);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.start();
        client.getContentDecoderFactories().clear();
        client.getProtocolHandlers().clear();
    }

    /** Ends all connections. */
    public void stop() throws Exception {
        client.stop();
    }

    @Override
    public void call(Request call, long timeoutMs, Consumer<Response> then) {
        try {
            var request = client.newRequest("http://" + call.target() + call.path())
                    .method(call.method())
                    .timeout(timeoutMs, TimeUnit.MILLISECONDS)
                    .idleTimeout(timeoutMs + 1000, TimeUnit.MILLISECONDS);
            if (call.body() != null) {
                request.body(new BytesRequestContent("application/json", call.body()));
            }
            request.send(new BufferingResponseListener(MAX_RESPONSE_BYTES) {
                @Override
                public void onComplete(Result result) {
                    if (result.isFailed()) {
                        then.accept(result.getFailure() instanceof ConnectException ? Response.UNSENT : Response.NONE);
                        return;
                    }
                    byte[] body = getContent();
                    then.accept(new Response(result.getResponse().getStatus(), body == null ? new byte[0] : body));
                }
            });
        } catch (RuntimeException e) {
            then.accept(Response.NONE);
        }
    }
}

package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Small HTTP server and client parts, on loopback only. */
final class Http {
    static final ObjectMapper JSON = new ObjectMapper();
    static final ExecutorService THREADS = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work, "standin");
        thread.setDaemon(true);
        return thread;
    });

    /** An answer; a status of 0 leaves the request unanswered. */
    record Answer(int status, JsonNode body) {}

    interface Handler {
        Answer handle(String method, String path, Map<String, String> query, JsonNode body) throws Exception;
    }

    private Http() {}

    static HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 128);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> {
            try {
                dispatch(exchange, handler);
            } catch (Exception e) {
                exchange.close();
            }
        });
        server.start();
        return server;
    }

    private static void dispatch(HttpExchange exchange, Handler handler) throws Exception {
        JsonNode body = null;
        try (InputStream in = exchange.getRequestBody()) {
            byte[] bytes = in.readAllBytes();
            if (bytes.length > 0) {
                body = JSON.readTree(bytes);
            }
        }
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw != null) {
            for (String part : raw.split("&")) {
                String[] pair = part.split("=", 2);
                query.put(pair[0], pair.length > 1 ? pair[1] : "");
            }
        }
        Answer answer =
                handler.handle(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body);
        if (answer.status() == 0) {
            exchange.close();
            return;
        }
        byte[] bytes = JSON.writeValueAsBytes(answer.body() == null ? JSON.createObjectNode() : answer.body());
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(answer.status(), bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    static HttpClient client() {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofMillis(1000))
                .executor(THREADS)
                .build();
    }

    /** Sends a request; status 0 if there is no answer in time. */
    static Answer call(HttpClient client, String method, String address, String path, JsonNode body, long timeoutMs) {
        try {
            HttpRequest.BodyPublisher publisher = body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofByteArray(JSON.writeValueAsBytes(body));
            HttpResponse<byte[]> response = client.send(
                    HttpRequest.newBuilder(URI.create("http://" + address + path))
                            .timeout(Duration.ofMillis(timeoutMs))
                            .method(method, publisher)
                            .build(),
                    HttpResponse.BodyHandlers.ofByteArray());
            JsonNode parsed = null;
            try {
                parsed = response.body().length == 0 ? null : JSON.readTree(response.body());
            } catch (IOException e) {
                // Not JSON: the status alone counts.
            }
            return new Answer(response.statusCode(), parsed);
        } catch (IOException e) {
            return new Answer(0, null);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(0, null);
        }
    }

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    static synchronized int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}

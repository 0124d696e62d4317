package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** JSON over HTTP/1.1: the clients and the servers of the stand-ins. */
final class Http {
    static final ObjectMapper JSON = new ObjectMapper();
    /** Threads are daemons: the process ends with its main thread. */
    static final ExecutorService THREADS = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    });

    private static final HttpClient CLIENT = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(1000))
            .executor(THREADS)
            .build();

    private Http() {}

    /** An answer; status 0 means that there was none. */
    record Answer(int status, byte[] bytes) {
        JsonNode body() {
            try {
                JsonNode node = bytes.length == 0 ? null : JSON.readTree(bytes);
                return node == null ? JSON.createObjectNode() : node;
            } catch (IOException e) {
                return JSON.createObjectNode();
            }
        }
    }

    /** Sends a request; body may be null. */
    static Answer call(String address, String method, String path, byte[] body, long timeoutMs) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .method(
                        method,
                        body == null
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofByteArray(body))
                .header("Content-Type", "application/json")
                .timeout(Duration.ofMillis(timeoutMs))
                .build();
        try {
            HttpResponse<byte[]> response = CLIENT.send(request, HttpResponse.BodyHandlers.ofByteArray());
            return new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            return new Answer(0, new byte[0]);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(0, new byte[0]);
        }
    }

    static byte[] bytes(JsonNode node) {
        try {
            return JSON.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    static void serve(String address, HttpHandler handler) throws IOException {
        int colon = address.lastIndexOf(':');
        HttpServer server = HttpServer.create(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                200);
        server.createContext("/", handler);
        server.setExecutor(THREADS);
        server.start();
    }

    static void answer(HttpExchange exchange, int status, JsonNode body) throws IOException {
        byte[] bytes = bytes(body);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    /** The value of a parameter of the query; null if it is missing. */
    static String parameter(HttpExchange exchange, String name) {
        String query = exchange.getRequestURI().getQuery();
        if (query == null) {
            return null;
        }
        for (String pair : query.split("&")) {
            if (pair.startsWith(name + "=")) {
                return pair.substring(name.length() + 1);
            }
        }
        return null;
    }

    /** Loopback addresses with free ports. */
    static List<String> freeAddresses(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            sockets.add(socket);
            addresses.add("127.0.0.1:" + socket.getLocalPort());
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return addresses;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.function.BooleanSupplier;

/** A proxy for the connections from one host to another. While the link is cut, it passes nothing on and stays silent. */
final class Proxy {
    private final String target;
    private final BooleanSupplier cut;

    Proxy(String address, String target, BooleanSupplier cut) throws IOException {
        this.target = target;
        this.cut = cut;
        int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        ServerSocket server = new ServerSocket(port, 200, InetAddress.getByName("127.0.0.1"));
        Http.THREADS.execute(() -> accept(server));
    }

    private void accept(ServerSocket server) {
        while (true) {
            try {
                Socket client = server.accept();
                Http.THREADS.execute(() -> connect(client));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket client) {
        awaitLink();
        int colon = target.lastIndexOf(':');
        try {
            Socket server = new Socket(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            Http.THREADS.execute(() -> pump(client, server));
            pump(server, client);
        } catch (IOException e) {
            close(client);
        }
    }

    private void pump(Socket from, Socket to) {
        byte[] buffer = new byte[16 << 10];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                awaitLink();
                out.write(buffer, 0, count);
            }
        } catch (IOException e) {
            // The other direction ends too.
        }
        awaitLink();
        close(from);
        close(to);
    }

    private void awaitLink() {
        while (cut.getAsBoolean()) {
            Http.sleep(20);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}

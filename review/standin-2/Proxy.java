package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** The link from one controller to another. While it is cut, what is sent is held, and delivered afterwards. */
final class Proxy {
    private final int target;
    private final ServerSocket server;
    private boolean cut;

    Proxy(int target) throws IOException {
        this.target = target;
        this.server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        Http.THREADS.execute(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    synchronized void setCut(boolean value) {
        cut = value;
        notifyAll();
    }

    private synchronized void awaitPath() throws InterruptedException {
        while (cut) {
            wait();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket from = server.accept();
                Http.THREADS.execute(() -> connect(from));
            }
        } catch (IOException e) {
            // Closed with the process.
        }
    }

    private void connect(Socket from) {
        Socket to = new Socket();
        try {
            awaitPath();
            to.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), target), 1000);
            from.setTcpNoDelay(true);
            to.setTcpNoDelay(true);
            Http.THREADS.execute(() -> copy(from, to));
            copy(to, from);
        } catch (IOException e) {
            close(from, to);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void copy(Socket from, Socket to) {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[16 << 10];
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                awaitPath();
                out.write(buffer, 0, n);
                out.flush();
            }
            awaitPath();
        } catch (IOException e) {
            // The other side has closed.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close(from, to);
    }

    private static void close(Socket from, Socket to) {
        try {
            from.close();
            to.close();
        } catch (IOException e) {
            // Closed already.
        }
    }
}

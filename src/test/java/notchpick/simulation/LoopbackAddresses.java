package notchpick.simulation;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Loopback addresses for simulated services that are served over real sockets. */
public final class LoopbackAddresses {
    private LoopbackAddresses() {}

    /** Distinct addresses whose ports are free now; another process may still take a port before it is used. */
    public static List<String> allocate(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<String> addresses = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                ServerSocket socket = new ServerSocket(0);
                sockets.add(socket);
                addresses.add("127.0.0.1:" + socket.getLocalPort());
            }
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
        return addresses;
    }
}

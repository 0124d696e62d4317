package notchpick.simulation;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Addresses on loopback for stand-ins that run over real sockets. */
public final class LoopbackAddresses {
    private LoopbackAddresses() {}

    /** So many different addresses with ports that are free now. */
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

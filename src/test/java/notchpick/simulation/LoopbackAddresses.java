package notchpick.simulation;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Loopback addresses for simulated services that are served over real sockets. */
public final class LoopbackAddresses {
    private static final int BACKLOG = 1;

    private LoopbackAddresses() {}

    /** Distinct addresses whose ports are free now; another process may still take a port before it is used. */
    public static List<String> allocate(int count) throws IOException {
        return allocate("127.0.0.1", count, Set.of());
    }

    /**
     * Distinct addresses whose ports are free now.
     *
     * @param host a loopback address; if nobody else uses it, nobody takes a port before it is used
     * @param reserved addresses that were allocated before and may not be in use yet; none of them is returned
     */
    public static List<String> allocate(String host, int count, Set<String> reserved) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<String> addresses = new ArrayList<>();
        try {
            while (addresses.size() < count) {
                ServerSocket socket = new ServerSocket(0, BACKLOG, InetAddress.getByName(host));
                sockets.add(socket);
                String address = host + ":" + socket.getLocalPort();
                if (!reserved.contains(address)) {
                    addresses.add(address);
                }
            }
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
        return addresses;
    }
}

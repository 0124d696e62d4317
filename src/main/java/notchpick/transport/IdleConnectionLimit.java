package notchpick.transport;

import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.server.AbstractConnector;
import org.eclipse.jetty.server.ConnectionLimit;

/**
 * Limits the number of connections. While the limit is reached, all connections have a shorter idle timeout.
 *
 * <p>Jetty counts a connection when it is accepted, but opens it slightly later, in another thread. When the limit is
 * reached, Jetty shortens the idle timeout only of connections that are already open. If none is open yet, all of them
 * keep the long timeout, and until it expires the connector accepts no other connection. Therefore this class also
 * shortens the idle timeout of connections that open while the limit is reached.
 */
final class IdleConnectionLimit extends ConnectionLimit {
    private final AbstractConnector connector;
    private volatile boolean limitReached;

    /** @param idleTimeoutAtLimitMs the idle timeout while the limit is reached */
    IdleConnectionLimit(int maxConnections, AbstractConnector connector, long idleTimeoutAtLimitMs) {
        super(maxConnections, connector);
        this.connector = connector;
        setIdleTimeout(idleTimeoutAtLimitMs);
    }

    @Override
    public void onOpened(Connection connection) {
        super.onOpened(connection);
        // From now on, the connector also applies changes of the idle timeout to this connection.
        // The loop applies a change that was made earlier, and repeats if another one is made meanwhile.
        // No lock is held, because setIdleTimeout() may close an idle connection within the call,
        // which may call unlimit().
        boolean limited = false;
        while (limited != limitReached) {
            limited = !limited;
            connection.getEndPoint().setIdleTimeout(limited ? getIdleTimeout() : connector.getIdleTimeout());
        }
    }

    @Override
    protected void limit() {
        limitReached = true;
        super.limit();
    }

    @Override
    protected void unlimit() {
        limitReached = false;
        super.unlimit();
    }
}

package notchpick.transport;

import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.server.AbstractConnector;
import org.eclipse.jetty.server.ConnectionLimit;

/**
 * Accepts no more than so many connections; while there are that many, idle ones end sooner.
 *
 * <p>Jetty counts a connection when it is accepted, but opens it a moment later, in another thread, and shortens the idle
 * timeout of those alone that are open when the limit is reached. If none is open yet, all keep the long timeout, and
 * the connector accepts nobody for as long. Therefore those that open while the limit holds get the shorter one here.
 */
final class IdleConnectionLimit extends ConnectionLimit {
    private final AbstractConnector connector;
    private volatile boolean limiting;

    /** @param limitedIdleTimeoutMs the idle timeout while there are as many connections as allowed */
    IdleConnectionLimit(int maxConnections, AbstractConnector connector, long limitedIdleTimeoutMs) {
        super(maxConnections, connector);
        this.connector = connector;
        setIdleTimeout(limitedIdleTimeoutMs);
    }

    @Override
    public void onOpened(Connection connection) {
        super.onOpened(connection);
        // The connection is among the connector's now: a later change of the limit reaches it.
        // An earlier one is made up for here.
        // No lock: a connection that is idle already ends within the call, and is counted out.
        boolean limited = false;
        while (limited != limiting) {
            limited = !limited;
            connection.getEndPoint().setIdleTimeout(limited ? getIdleTimeout() : connector.getIdleTimeout());
        }
    }

    @Override
    protected void limit() {
        limiting = true;
        super.limit();
    }

    @Override
    protected void unlimit() {
        limiting = false;
        super.unlimit();
    }
}

package notchpick.coordination.membership;

import notchpick.protocol.peer.LinkTable;
import notchpick.protocol.peer.Pulse;

/** What this controller tells its peers about itself. */
public interface LocalStatus {
    /** The heartbeat to be sent now. */
    Pulse heartbeat();

    /** This controller's own links. */
    LinkTable linkTable();
}

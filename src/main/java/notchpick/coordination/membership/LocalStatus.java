package notchpick.coordination.membership;

import notchpick.protocol.peer.LinkTable;
import notchpick.protocol.peer.Pulse;

/** The status that this controller sends to its peers. */
public interface LocalStatus {
    /** The heartbeat to send now. */
    Pulse heartbeat();

    /** The table of this controller's own links. */
    LinkTable linkTable();
}

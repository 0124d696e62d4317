package notchpick.coordination.membership;

import notchpick.protocol.peer.Pulse;

/** Is told of peers' heartbeats. */
@FunctionalInterface
public interface HeartbeatListener {
    /** A peer's heartbeat has arrived, as a message or as the reply to this controller's own. */
    void heartbeatReceived(Pulse heartbeat);
}

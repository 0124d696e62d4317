package notchpick.coordination.membership;

import notchpick.protocol.peer.Pulse;

/** Listener for the heartbeats of peers. */
@FunctionalInterface
public interface HeartbeatListener {
    /** A peer's heartbeat has arrived, as a message or as the reply to this controller's own. */
    void heartbeatReceived(Pulse heartbeat);
}

package notchpick.coordination.membership;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.function.Consumer;
import notchpick.coordination.Deployment;
import notchpick.protocol.PeerProtocol;
import notchpick.protocol.WorkerProtocol;
import notchpick.protocol.peer.Outcome;
import notchpick.protocol.peer.Outcomes;
import notchpick.protocol.peer.ReportBatch;
import notchpick.transport.Actor;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpStatus;

/**
 * Relays workers' heartbeats to the leader and passes its replies back. Heartbeats are sent in batches, which cost the
 * leader less than single heartbeats. Few batches are in flight at a time, so that a slow leader is not overloaded. A
 * heartbeat that can't be replied to before its worker times out is refused, and the worker tries another controller.
 */
final class HeartbeatRelayQueue extends Actor<Void> {
    /**
     * A heartbeat to be relayed.
     *
     * @param receivedAtMs when it was received, in milliseconds of the steady clock
     * @param route records when the leader has replied
     */
    record RelayedHeartbeat(byte[] body, Consumer<Response> reply, long receivedAtMs, WorkerRoute route) {}

    private record Batch(List<RelayedHeartbeat> heartbeats, long timeoutMs) {}

    /** The reply that makes a worker try another controller. */
    private static final Response REFUSED = Response.empty(HttpStatus.SERVICE_UNAVAILABLE);
    /** When this many heartbeats are queued, another one displaces the oldest, which is refused. */
    private static final int MAX_QUEUED = 1000;

    private static final int MAX_BATCH_SIZE = 64;
    private static final int MAX_BATCH_BYTES = 256 << 10;
    private static final int MAX_BATCHES_IN_FLIGHT = 4;
    /** How long heartbeats are collected into batches, as a fraction of the heartbeat period. */
    private static final double BATCH_DELAY_RATIO = 0.02;
    /** The fraction of a worker's timeout that is reserved for returning the reply. */
    private static final double REPLY_TIME_RATIO = 0.125;
    /** A heartbeat is relayed only if the time left is at least its worker's timeout divided by this. */
    private static final int MIN_REMAINING_TIMEOUT_PART = 4;

    private final LeaderElection election;
    private final PeerRegistry peers;
    private final PeerClient peerClient;
    private final long batchDelayMs;
    private final Queue<RelayedHeartbeat> queue = new ArrayDeque<>();
    private boolean sendScheduled;
    private int batchesInFlight;
    private long relayedInPeriod;
    private long relayedInLastPeriod;

    HeartbeatRelayQueue(
            EventLoop loop, Deployment deployment, LeaderElection election, PeerRegistry peers, PeerClient peerClient) {
        super(loop);
        this.election = election;
        this.peers = peers;
        this.peerClient = peerClient;
        this.batchDelayMs = (long) (deployment.heartbeatPeriodMs() * BATCH_DELAY_RATIO);
    }

    @Override
    protected void receive(Void message) {
        throw new IllegalStateException("HeartbeatRelayQueue takes no messages; call its methods instead");
    }

    /** Logs and resets the count of relayed heartbeats; called once per heartbeat period. */
    void endPeriod() {
        if (relayedInPeriod > 0) {
            log.info(
                    "heartbeats relayed: count={} leader={} reason=\"workers do not reach the leader\"",
                    relayedInPeriod,
                    election.leader());
        }
        relayedInLastPeriod = relayedInPeriod;
        relayedInPeriod = 0;
    }

    /** Whether at least one full batch of heartbeats was relayed in the last period. */
    boolean isBusy() {
        return relayedInLastPeriod >= MAX_BATCH_SIZE;
    }

    /** Queues a heartbeat, or refuses it if this controller can't reach the leader. */
    void add(RelayedHeartbeat heartbeat, String leader) {
        if (!peers.canRelay(leader)) {
            heartbeat.reply().accept(REFUSED);
            return;
        }
        if (queue.size() >= MAX_QUEUED) {
            queue.poll().reply().accept(REFUSED);
        }
        queue.add(heartbeat);
        if (!sendScheduled) {
            sendScheduled = true;
            schedule(batchDelayMs, this::sendBatches);
        }
    }

    private void sendBatches() {
        sendScheduled = false;
        String leader = election.leader();
        while (!queue.isEmpty() && batchesInFlight < MAX_BATCHES_IN_FLIGHT) {
            Batch batch = takeBatch(leader);
            if (!batch.heartbeats().isEmpty()) {
                send(leader, batch);
            }
        }
    }

    /** Takes a batch off the queue, and refuses heartbeats that can't be relayed or replied to in time. */
    private Batch takeBatch(String leader) {
        List<RelayedHeartbeat> heartbeats = new ArrayList<>();
        int bytes = 0;
        long timeoutMs = WorkerProtocol.REPLY_TIMEOUT_MS;
        while (!queue.isEmpty() && heartbeats.size() < MAX_BATCH_SIZE && bytes < MAX_BATCH_BYTES) {
            RelayedHeartbeat next = queue.poll();
            long remainingMs = remainingMs(next);
            if (remainingMs < WorkerProtocol.REPLY_TIMEOUT_MS / MIN_REMAINING_TIMEOUT_PART
                    || leader == null
                    || !peers.canRelay(leader)) {
                next.reply().accept(REFUSED);
            } else {
                heartbeats.add(next);
                bytes += next.body().length;
                timeoutMs = Math.min(timeoutMs, remainingMs);
            }
        }
        return new Batch(heartbeats, timeoutMs);
    }

    private long remainingMs(RelayedHeartbeat heartbeat) {
        return (long)
                (heartbeat.receivedAtMs() + WorkerProtocol.REPLY_TIMEOUT_MS * (1 - REPLY_TIME_RATIO) - loop.nowMs());
    }

    private void send(String leader, Batch batch) {
        List<RelayedHeartbeat> heartbeats = batch.heartbeats();
        batchesInFlight++;
        relayedInPeriod += heartbeats.size();
        List<ByteBuffer> bodies = heartbeats.stream()
                .map(heartbeat -> ByteBuffer.wrap(heartbeat.body()))
                .toList();
        // The leader gets less time than this controller waits, so that its reply arrives before the timeout.
        long leaderTimeoutMs = (long) (batch.timeoutMs() * (1 - REPLY_TIME_RATIO));
        peerClient.send(leader, new ReportBatch(leaderTimeoutMs, bodies), batch.timeoutMs(), onLoop(reply -> {
            batchesInFlight--;
            completeBatch(heartbeats, reply);
            sendBatches();
        }));
    }

    private void completeBatch(List<RelayedHeartbeat> heartbeats, Object reply) {
        if (!(reply instanceof Outcomes outcomes) || outcomes.getEach().size() != heartbeats.size()) {
            heartbeats.forEach(heartbeat -> heartbeat.reply().accept(REFUSED));
            return;
        }
        for (int i = 0; i < heartbeats.size(); i++) {
            complete(heartbeats.get(i), outcomes.getEach().get(i));
        }
    }

    private void complete(RelayedHeartbeat heartbeat, Outcome outcome) {
        if (outcome.getStatus() <= 0) {
            heartbeat.reply().accept(REFUSED);
            return;
        }
        if (outcome.getStatus() == HttpStatus.OK) {
            heartbeat.route().recordRelayedReply(loop.nowMs());
        }
        heartbeat.reply().accept(Response.of(outcome.getStatus(), PeerProtocol.toBytes(outcome.getContent())));
    }
}

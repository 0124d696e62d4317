package notchpick.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import notchpick.transport.HttpCaller;
import notchpick.transport.HttpCaller.Request;

/** Sends copies of workers' heartbeats to every controller, either late or when a new leader is elected. */
final class HeartbeatDuplicator {
    /** The shortest delay of a copy. */
    private static final int MIN_DELAY_MS = 2000;
    /** How much longer than the shortest delay a copy may take, as a multiple of the worker lease. */
    private static final double MAX_EXTRA_DELAY_LEASES = 1.4;
    /** The time over which copies that were kept for the next leader are sent. */
    private static final long KEPT_COPIES_DELIVERY_MS = 2000;

    private static final long ELECTION_CHECK_PERIOD_MS = 20;
    private static final int TIMEOUT_MS = 5000;

    private final SimulatedTime time;
    private final Random random;
    private final long leaseMs;
    private final SimulatedControllers controllers;
    private final OccurrenceCounters occurrences;
    private final HttpCaller caller;
    private final List<byte[]> keptForNextLeader = new ArrayList<>();
    private double share;
    private boolean forNextLeader;
    private int lastSeenTerm;
    private boolean isAwaitingElection;

    HeartbeatDuplicator(
            SimulatedTime time,
            Random random,
            long leaseMs,
            SimulatedControllers controllers,
            OccurrenceCounters occurrences,
            HttpCaller caller) {
        this.time = time;
        this.random = random;
        this.leaseMs = leaseMs;
        this.controllers = controllers;
        this.occurrences = occurrences;
        this.caller = caller;
    }

    /**
     * Sets the share of heartbeats that are duplicated. A copy is sent between two seconds and well over a lease later,
     * or kept until the next leader is elected. Copies that are already kept stay kept when the share is set to 0.
     */
    void setShare(double newShare, boolean keepForNextLeader) {
        share = newShare;
        forNextLeader = keepForNextLeader;
        if (forNextLeader && !isAwaitingElection) {
            isAwaitingElection = true;
            lastSeenTerm = controllers.term();
            awaitElection();
        }
    }

    /** Called when a worker sends this heartbeat. */
    void onHeartbeatSent(byte[] heartbeat) {
        if (random.nextDouble() >= share) {
            return;
        }
        if (forNextLeader) {
            keptForNextLeader.add(heartbeat);
        } else {
            int sentInTerm = controllers.term();
            time.schedule(MIN_DELAY_MS + random.nextInt((int) (MAX_EXTRA_DELAY_LEASES * leaseMs)), () -> {
                boolean isLaterTerm = controllers.term() > sentInTerm;
                occurrences.increment(
                        isLaterTerm ? Occurrence.HEARTBEAT_DUPLICATED_IN_LATER_TERM : Occurrence.HEARTBEAT_DUPLICATED);
                deliver(heartbeat);
            });
        }
    }

    private void awaitElection() {
        time.schedule(ELECTION_CHECK_PERIOD_MS, () -> {
            int term = controllers.leader().isPresent() ? controllers.term() : 0;
            if (term > lastSeenTerm) {
                lastSeenTerm = term;
                deliverKept();
            }
            isAwaitingElection = forNextLeader;
            if (isAwaitingElection) {
                awaitElection();
            }
        });
    }

    /** Sends the kept copies in order, while the new leader recovers and shortly after. */
    private void deliverKept() {
        List<byte[]> copies = List.copyOf(keptForNextLeader);
        keptForNextLeader.clear();
        for (int i = 0; i < copies.size(); i++) {
            byte[] copy = copies.get(i);
            time.schedule(KEPT_COPIES_DELIVERY_MS * i / copies.size(), () -> {
                occurrences.increment(Occurrence.HEARTBEAT_DUPLICATED_FOR_NEXT_LEADER);
                deliver(copy);
            });
        }
    }

    private void deliver(byte[] heartbeat) {
        for (String address : controllers.userAddresses().values()) {
            caller.call(new Request(address, "POST", "/hello", heartbeat), TIMEOUT_MS, answer -> {});
        }
    }
}

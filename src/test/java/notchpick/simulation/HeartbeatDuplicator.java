package notchpick.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import notchpick.transport.HttpCaller;
import notchpick.transport.HttpCaller.Request;

/** Copies of workers' heartbeats, which arrive again at every controller: late, or as a new leader begins. */
final class HeartbeatDuplicator {
    /** The shortest time that a copy is under way. */
    private static final int MIN_DELAY_MS = 2000;
    /** How much longer it may be under way, in workers' leases. */
    private static final double MAX_EXTRA_DELAY_LEASES = 1.4;
    /** Copies that were kept for the next leader arrive within so long. */
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
    private int keptInTerm;
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
     * From now on a copy of this share of the heartbeats arrives again: from two seconds to well over a lease later, or
     * as soon as the next leader has begun; what is kept for that one stays kept when the share falls to 0.
     */
    void setShare(double newShare, boolean keepForNextLeader) {
        share = newShare;
        forNextLeader = keepForNextLeader;
        if (forNextLeader && !isAwaitingElection) {
            isAwaitingElection = true;
            keptInTerm = controllers.term();
            awaitElection();
        }
    }

    /** A worker sends this heartbeat. */
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
            if (term > keptInTerm) {
                keptInTerm = term;
                deliverKept();
            }
            isAwaitingElection = forNextLeader;
            if (isAwaitingElection) {
                awaitElection();
            }
        });
    }

    /** In their order, while the new leader recovers and just after. */
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

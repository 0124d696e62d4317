package notchpick.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Copies of workers' reports, which arrive once more at every controller: late, or as a new leader begins. */
final class HeartbeatDuplicator {
    /** What is needed of the cluster that the reports are sent in. */
    interface Host {
        /** The newest term if somebody leads now; 0: nobody does. */
        int ledTerm();

        /** The newest term. */
        int term();

        /** Every controller gets the report. */
        void deliver(byte[] report);

        /** Something has come about that a scenario may have been made for. */
        void meet(String what);
    }

    /** A copy of a report is under way for so long at least. */
    private static final int LEAST_DELAY_MS = 2000;
    /** How much longer it may be under way, as a part of the workers' lease. */
    private static final double COPY_LEASES = 1.4;
    /** Copies that were kept for the next leader arrive within so long. */
    private static final long COPIES_MS = 2000;
    /** How often it is looked whether a leader has begun. */
    private static final long LOOK_MS = 20;

    private final SimulatedTime simulation;
    private final Random chance;
    private final long leaseMs;
    private final Host host;
    private final List<byte[]> keptForNext = new ArrayList<>();
    private double share;
    private boolean forNext;
    private int keptInTerm;
    private boolean awaitsNextTerm;

    HeartbeatDuplicator(SimulatedTime simulation, Random chance, long leaseMs, Host host) {
        this.simulation = simulation;
        this.chance = chance;
        this.leaseMs = leaseMs;
        this.host = host;
    }

    /**
     * From now on a copy of this share of the reports arrives again: from two seconds to well over a lease later, or
     * as soon as the next leader has begun; what is kept for that one stays kept when the share falls to none.
     */
    void set(double ofReports, boolean toNextLeader) {
        share = ofReports;
        forNext = toNextLeader;
        if (forNext && !awaitsNextTerm) {
            awaitsNextTerm = true;
            keptInTerm = host.term();
            awaitNextTerm();
        }
    }

    /** A worker sends this report. */
    void reported(byte[] report) {
        if (chance.nextDouble() >= share) {
            return;
        }
        if (forNext) {
            keptForNext.add(report);
        } else {
            int sentInTerm = host.term();
            simulation.after(LEAST_DELAY_MS + chance.nextInt((int) (COPY_LEASES * leaseMs)), () -> {
                host.meet(host.term() > sentInTerm ? "copies-in-later-term" : "copies");
                host.deliver(report);
            });
        }
    }

    private void awaitNextTerm() {
        simulation.after(LOOK_MS, () -> {
            if (host.ledTerm() > keptInTerm) {
                keptInTerm = host.ledTerm();
                deliverKept();
            }
            awaitsNextTerm = forNext;
            if (awaitsNextTerm) {
                awaitNextTerm();
            }
        });
    }

    /** In their order, while the new leader reads what was left and just after. */
    private void deliverKept() {
        List<byte[]> copies = List.copyOf(keptForNext);
        keptForNext.clear();
        for (int i = 0; i < copies.size(); i++) {
            byte[] copy = copies.get(i);
            simulation.after(COPIES_MS * i / copies.size(), () -> {
                host.meet("copies-for-next");
                host.deliver(copy);
            });
        }
    }
}

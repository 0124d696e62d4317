package notchpick.bookkeeping;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import notchpick.scheduling.Amounts;
import notchpick.scheduling.FleetPlan.Pool;
import notchpick.scheduling.Place;

/** A machine as the leader knows it. */
public final class Machine implements Place {
    /** What may become of a machine. */
    public enum Life {
        /** Rented, its worker has not reported yet. */
        BOOTING,
        UP,
        /** Shall go; no release has been asked yet. */
        LEAVING,
        /** Its release may have been asked: never to be used again. */
        RELEASED
    }

    private static final int MOST_DOUBLINGS = 3;

    public final String name;
    public final Pool pool;
    public final Amounts size;
    public final Map<String, TaskAssignment> bindings = new LinkedHashMap<>();
    public final Set<String> images = new HashSet<>();
    public Life life = Life.BOOTING;
    public long knownSince;
    public long session;
    public long sequence = -1;
    /** When the newest report came; since that moment its lease runs. */
    public long reportedAt;

    public boolean everReported;
    /** Its last report came from it directly, not by another controller. */
    public boolean reportsHere;
    /** Its report has not been answered yet: orders can go out at once. */
    public boolean awaitsAnswer;
    /** No former leader's order can reach it any more, and all that is on it has been reported. */
    public boolean settled;

    public Double noticeS;
    public long idleSince;
    public long quarantinedUntil;
    /** How many answers with orders it has missed since one was last seen to arrive. */
    private int missedAnswers;
    /** It missed an answer, and is given nothing to start before then. */
    private long deafUntil;
    /** Jobs whose tasks failed here since one last succeeded, and when. */
    public final Map<String, Long> failedJobs = new HashMap<>();
    /** Since when it has seemed to fail whatever it starts; 0: it does not. */
    public long blamedSince;
    /** A former leader may have sent it orders. */
    public boolean hinted;

    public boolean releaseDurable;
    private Amounts leased = Amounts.NONE;
    private Amounts held = Amounts.NONE;
    private Amounts room;

    public Machine(String name, Pool pool, Amounts size, long now) {
        this.name = name;
        this.pool = pool;
        this.size = size;
        this.knownSince = now;
        this.idleSince = now;
        this.reportedAt = now;
        this.room = size;
    }

    @Override
    public String type() {
        return pool.type();
    }

    @Override
    public String zone() {
        return pool.zone();
    }

    @Override
    public boolean spot() {
        return pool.spot();
    }

    @Override
    public Set<String> images() {
        return images;
    }

    @Override
    public Amounts room() {
        return room;
    }

    /** Whether room of it is leased out. */
    public boolean isLeased() {
        return leased.cores() > Amounts.SLACK;
    }

    /** Leases room out. */
    public void lease(Amounts amounts) {
        leased = leased.plus(amounts);
        room = room.minus(amounts);
    }

    /** Leased room comes back. */
    public void unlease(Amounts amounts) {
        leased = leased.minus(amounts);
        if (leased.cores() < Amounts.SLACK && leased.ram() < Amounts.SLACK) {
            leased = Amounts.NONE;
        }
        room = size.minus(leased).minus(held);
    }

    /** Takes the resources that the task needs. */
    void hold(TaskAssignment binding) {
        held = held.plus(binding.spec.demand());
        room = room.minus(binding.spec.demand());
    }

    /** Gives back the resources that the task held. */
    void free(TaskAssignment binding) {
        // Sums of decimals drift; with nothing left they start afresh.
        held = bindings.isEmpty() ? Amounts.NONE : held.minus(binding.spec.demand());
        room = size.minus(leased).minus(held);
    }

    /**
     * An answer that told it to start tasks was lost, as its next report shows. The pause doubles with each one missed:
     * what is started on a machine that hears nothing takes room and time, and comes to nothing.
     */
    public void missedAnswer(long now, long reportMs) {
        missedAnswers = Math.min(missedAnswers + 1, MOST_DOUBLINGS);
        deafUntil = now + (reportMs << missedAnswers);
    }

    /** An answer to it surely arrived. */
    public void heardAnswer() {
        missedAnswers = 0;
        deafUntil = 0;
    }

    /** Whether tasks may be started on it. */
    public boolean isUsable(long now, double reportMs) {
        return life == Life.UP
                && settled
                && noticeS == null
                && quarantinedUntil <= now
                && deafUntil <= now
                // A machine that has missed reports may be gone; what is started there would only wait.
                && now - reportedAt < 2 * reportMs;
    }

    public boolean isIdle() {
        return bindings.isEmpty() && !isLeased();
    }
}

package notchpick.bookkeeping;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import notchpick.scheduling.Amounts;
import notchpick.scheduling.FleetPlan.Pool;
import notchpick.scheduling.Packing;

/** A machine as the leader knows it. */
public final class Machine implements Packing.Site {
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

    public final String name;
    public final Pool pool;
    public final Amounts size;
    public final Map<String, Binding> bindings = new LinkedHashMap<>();
    public final Set<String> images = new HashSet<>();
    public Life life = Life.BOOTING;
    public long knownSince;
    public long session;
    public long sequence = -1;
    /** When the newest report came; since that moment its lease runs. */
    public long reportedAt;
    public boolean everReported;
    /** No former leader's order can reach it any more, and all that is on it has been reported. */
    public boolean settled;
    public Double noticeS;
    public long idleSince;
    public long quarantinedUntil;
    /** Jobs whose tasks failed here since one last succeeded, and when. */
    public final Map<String, Long> failedJobs = new HashMap<>();
    public boolean recorded;
    public boolean releaseDurable;
    public boolean releasing;
    /** Room that is leased out, by lease. */
    public Amounts leased = Amounts.NONE;

    public Machine(String name, Pool pool, Amounts size, long now) {
        this.name = name;
        this.pool = pool;
        this.size = size;
        this.knownSince = now;
        this.idleSince = now;
        this.reportedAt = now;
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
        Amounts room = size.minus(leased);
        for (Binding binding : bindings.values()) {
            room = room.minus(binding.spec.demand());
        }
        return room;
    }

    public boolean isIdle() {
        return bindings.isEmpty() && leased.cores() <= Amounts.SLACK;
    }
}

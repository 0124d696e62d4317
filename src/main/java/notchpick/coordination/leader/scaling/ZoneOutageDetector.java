package notchpick.coordination.leader.scaling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import notchpick.model.Machine;

/**
 * Finds out which machines have fallen silent together. Where most of a zone have, the zone is cut off and not the
 * machines are broken; where most of all have, it is this controller that is cut off. This decides only whether the
 * machines are worth keeping: what may be running on them is for their leases to say.
 */
final class ZoneOutageDetector {
    /** So few silent machines tell nothing. */
    private static final int MAX_INSIGNIFICANT = 3;

    private final Set<String> silentZones = new HashSet<>();
    private final boolean isEverywhere;

    /** How many machines there are, and how many of them are silent. */
    private static final class Count {
        private int machines;
        private int silent;

        void add(boolean isSilent) {
            machines++;
            silent += isSilent ? 1 : 0;
        }

        boolean areMostSilent() {
            return silent > MAX_INSIGNIFICANT && silent * 2 > machines;
        }
    }

    /**
     * @param awakeSince silence from before then does not count
     * @param thresholdMs a machine that has not reported for so long counts as silent
     */
    ZoneOutageDetector(Iterable<Machine> machines, long now, long awakeSince, double thresholdMs) {
        Count all = new Count();
        Map<String, Count> byZone = new HashMap<>();
        for (Machine machine : machines) {
            if (machine.state() == Machine.State.READY) {
                boolean isSilent = now - Math.max(machine.lastHeartbeatAtMs(), awakeSince) > thresholdMs;
                byZone.computeIfAbsent(machine.zone(), zone -> new Count()).add(isSilent);
                all.add(isSilent);
            }
        }
        byZone.forEach((zone, count) -> {
            if (count.areMostSilent()) {
                silentZones.add(zone);
            }
        });
        isEverywhere = all.areMostSilent();
    }

    /** Whether the machines of the zone are silent because of an outage. */
    boolean covers(String zone) {
        return isEverywhere || silentZones.contains(zone);
    }
}

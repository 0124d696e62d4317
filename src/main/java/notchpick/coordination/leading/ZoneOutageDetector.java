package notchpick.coordination.leading;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import notchpick.bookkeeping.Machine;
import notchpick.bookkeeping.Machine.Life;

/**
 * Which machines have fallen silent together. Where most of a zone have, it is the zone that is cut off and not the
 * machines that are broken; where most of all have, it is this controller. This decides only whether they are worth
 * keeping: what may be running on them is for their leases to say.
 */
final class ZoneOutageDetector {
    /** So few machines tell nothing. */
    private static final int TOO_FEW = 3;

    private final Map<String, int[]> byZone = new HashMap<>();
    private final Set<String> cutOff = new HashSet<>();
    private final boolean everywhere;

    /**
     * @param awakeSince nobody's silence from before then counts
     * @param longMs who has not reported for so long counts as silent
     */
    ZoneOutageDetector(Iterable<Machine> machines, long now, long awakeSince, double longMs) {
        int up = 0;
        int silent = 0;
        for (Machine machine : machines) {
            if (machine.life == Life.UP) {
                boolean isSilent = now - Math.max(machine.reportedAt, awakeSince) > longMs;
                int[] counts = byZone.computeIfAbsent(machine.zone(), zone -> new int[2]);
                counts[0]++;
                counts[1] += isSilent ? 1 : 0;
                up++;
                silent += isSilent ? 1 : 0;
            }
        }
        byZone.forEach((zone, counts) -> {
            if (areMost(counts[1], counts[0])) {
                cutOff.add(zone);
            }
        });
        everywhere = areMost(silent, up);
    }

    private static boolean areMost(int silent, int up) {
        return silent > TOO_FEW && silent * 2 > up;
    }

    /** Whether the machines of a zone can't be heard, whatever they do. */
    boolean covers(String zone) {
        return everywhere || cutOff.contains(zone);
    }
}

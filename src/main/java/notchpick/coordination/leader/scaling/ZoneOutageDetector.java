package notchpick.coordination.leader.scaling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import notchpick.model.Machine;

/**
 * Detects machines that are silent together. If most machines of a zone are silent, the zone is cut off rather than the
 * machines broken; if most of all machines are, this controller is cut off. The result only decides whether the
 * machines are worth keeping. Whether their tasks may still be running depends on the worker leases alone.
 */
final class ZoneOutageDetector {
    /** Up to this many silent machines are no sign of an outage. */
    private static final int MAX_ISOLATED_SILENT = 3;

    private final Set<String> silentZones = new HashSet<>();
    private final boolean isControllerCutOff;

    /** How many machines there are, and how many of them are silent. */
    private static final class Count {
        private int machines;
        private int silent;

        void add(boolean isSilent) {
            machines++;
            silent += isSilent ? 1 : 0;
        }

        boolean areMostSilent() {
            return silent > MAX_ISOLATED_SILENT && silent * 2 > machines;
        }
    }

    /**
     * @param awakeSinceMs the end of this process's last pause; silence before then does not count
     * @param thresholdMs a machine without a heartbeat for longer than this counts as silent
     */
    ZoneOutageDetector(Iterable<Machine> machines, long nowMs, long awakeSinceMs, double thresholdMs) {
        Count all = new Count();
        Map<String, Count> byZone = new HashMap<>();
        for (Machine machine : machines) {
            if (machine.state() == Machine.State.READY) {
                boolean isSilent = nowMs - Math.max(machine.lastHeartbeatAtMs(), awakeSinceMs) > thresholdMs;
                byZone.computeIfAbsent(machine.zone(), zone -> new Count()).add(isSilent);
                all.add(isSilent);
            }
        }
        byZone.forEach((zone, count) -> {
            if (count.areMostSilent()) {
                silentZones.add(zone);
            }
        });
        isControllerCutOff = all.areMostSilent();
    }

    /** Whether the machines of the zone are unreachable together, because the zone or this controller is cut off. */
    boolean hasOutage(String zone) {
        return isControllerCutOff || silentZones.contains(zone);
    }
}

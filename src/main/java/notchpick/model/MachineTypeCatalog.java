package notchpick.model;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.Milliseconds;
import notchpick.scheduling.Resources;

/** The machine types that the cloud offers, as last read from it. */
public final class MachineTypeCatalog {
    /** A machine of an unknown type is expected to take this long to boot. */
    private static final double UNKNOWN_BOOT_MS = 60_000;

    private final Map<String, MachineType> types = new LinkedHashMap<>();

    /** Adds types, and replaces those of the same name. */
    public void update(List<MachineType> known) {
        known.forEach(type -> types.put(type.name(), type));
    }

    public Map<String, MachineType> byName() {
        return Collections.unmodifiableMap(types);
    }

    public Collection<MachineType> all() {
        return Collections.unmodifiableCollection(types.values());
    }

    /** Whether the type is known, and offered in the zone. */
    public boolean isOffered(String type, String zone) {
        MachineType known = types.get(type);
        return known != null && known.zones().contains(zone);
    }

    /** The resources of a machine of this type; none if the type is unknown. */
    public Resources size(String type) {
        MachineType known = types.get(type);
        return known == null ? Resources.NONE : known.size();
    }

    /** The rate at which a machine of this type fetches images, in GB per second; 0 if the type is unknown. */
    public double fetchGbPerS(String type) {
        MachineType known = types.get(type);
        return known == null ? 0 : known.fetchGbPerS();
    }

    /** The seconds that the slowest type takes to fetch an image of this size; 0 if no rate is known. */
    public double fetchS(double imageGb) {
        double slowest = types.values().stream()
                .mapToDouble(MachineType::fetchGbPerS)
                .filter(rate -> rate > 0)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
        return imageGb / slowest;
    }

    /** The usual boot time of a machine of this type, in milliseconds. */
    public double bootMs(String type) {
        MachineType known = types.get(type);
        return known == null ? UNKNOWN_BOOT_MS : known.bootS() * Milliseconds.PER_SECOND;
    }

    /** The shortest boot time of all types, in seconds; 0 if none is known. */
    public double shortestBootS() {
        return types.values().stream().mapToDouble(MachineType::bootS).min().orElse(0);
    }

    /** The longest boot time of all types, in seconds; 0 if none is known. */
    public double longestBootS() {
        return types.values().stream().mapToDouble(MachineType::bootS).max().orElse(0);
    }
}

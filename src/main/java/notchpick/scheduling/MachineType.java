package notchpick.scheduling;

import java.util.List;

/** A type of machine that the cloud rents out. */
public record MachineType(
        String name,
        Resources size,
        double cacheGb,
        double fetchGbPerS,
        double price,
        double spotPrice,
        double bootS,
        List<String> zones) {}

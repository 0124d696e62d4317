package notchpick.scheduling;

import java.util.List;

/**
 * A type of machine that the cloud rents out.
 *
 * @param cacheGb the size of its image cache, in GB
 * @param fetchGbPerS how fast it fetches images, in GB per second
 * @param price the price of an on-demand machine per unit of time
 * @param spotPrice the price of a spot instance per the same unit of time
 * @param bootS the time from ordering a machine to its first heartbeat, in seconds
 * @param zones the zones in which it can be rented
 */
public record MachineType(
        String name,
        Resources size,
        double cacheGb,
        double fetchGbPerS,
        double price,
        double spotPrice,
        double bootS,
        List<String> zones) {
    /** The price of a spot instance or of an on-demand machine. */
    double price(boolean spot) {
        return spot ? spotPrice : price;
    }

    /** The price for one of its cores. */
    double pricePerCore(boolean spot) {
        return price(spot) / Math.max(size.cores(), 1);
    }
}

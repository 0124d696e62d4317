package notchpick.scheduling;

import java.util.List;

/**
 * A type of machine that the cloud rents out.
 *
 * @param cacheGb the size of its image cache
 * @param fetchGbPerS how fast it fetches images
 * @param price what an on-demand machine costs for each unit of time
 * @param spotPrice what a spot instance costs for the same time
 * @param bootS how long a machine takes from its order to its first heartbeat
 * @param zones where it can be rented
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
    /** What a machine costs, as a spot instance or on demand. */
    double price(boolean spot) {
        return spot ? spotPrice : price;
    }

    /** The price for one of its cores. */
    double pricePerCore(boolean spot) {
        return price(spot) / Math.max(size.cores(), 1);
    }
}

package notchpick.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Plans how the fleet scales: packs the demand onto the owned machines first-fit, plans rentals for the rest, and finds
 * the idle machines that no demand was packed onto.
 */
public final class FleetPlanner {
    /** An owned machine with the demand packed onto it. */
    private record PackedOwned(OwnedMachine machine, double pricePerCore, PackedMachine packed) {}

    private final Map<String, MachineType> types;
    private final double horizonS;
    private final PoolSelector pools;
    private final Map<NodePool, Integer> scaleOut = new LinkedHashMap<>();
    /** Owned and planned machines with enough free cores for at least the smallest task. */
    private final List<PackedMachine> open = new ArrayList<>();

    private FleetPlanner(
            Map<String, MachineType> types, double horizonS, Predicate<NodePool> refused, Predicate<NodePool> late) {
        this.types = types;
        this.horizonS = horizonS;
        this.pools = new PoolSelector(types.values(), refused, late);
    }

    /**
     * Plans the fleet for this demand.
     *
     * @param demands the demand of each job, in the order in which the jobs are served
     * @param types the machine types by name
     * @param horizonS the time in which the backlog should be completed, in seconds
     * @param refused matches pools that the cloud has recently refused
     * @param late matches pools whose machines currently take too long to become ready
     */
    public static ScalingPlan plan(
            List<JobDemand> demands,
            List<OwnedMachine> owned,
            Map<String, MachineType> types,
            double horizonS,
            Predicate<NodePool> refused,
            Predicate<NodePool> late) {
        return new FleetPlanner(types, horizonS, refused, late).plan(demands, owned);
    }

    private ScalingPlan plan(List<JobDemand> demands, List<OwnedMachine> owned) {
        List<PackedOwned> machines = inPackingOrder(owned);
        for (PackedOwned machine : machines) {
            open.add(machine.packed());
            pools.countMachine(machine.machine().pool());
        }
        double leastCores = demands.stream()
                .mapToDouble(demand -> demand.spec().demand().cores())
                .min()
                .orElse(0);
        for (JobDemand demand : demands) {
            int unpacked = packOnOpen(demand, demand.concurrentTasks(horizonS));
            planRentals(demand, unpacked);
            open.removeIf(machine -> !machine.hasCores(leastCores));
        }
        Set<String> unneeded = new HashSet<>();
        for (PackedOwned machine : machines) {
            if (machine.machine().isIdle() && !machine.packed().isUsed()) {
                unneeded.add(machine.machine().name());
            }
        }
        return new ScalingPlan(scaleOut, unneeded);
    }

    /** Busy machines first, then by ascending price, so that idle, expensive ones stay unused and can be returned. */
    private List<PackedOwned> inPackingOrder(List<OwnedMachine> owned) {
        List<PackedOwned> machines = new ArrayList<>();
        for (OwnedMachine machine : owned) {
            MachineType type = types.get(machine.pool().type());
            double pricePerCore = type == null
                    ? Double.MAX_VALUE
                    : type.pricePerCore(machine.pool().spot());
            machines.add(new PackedOwned(
                    machine, pricePerCore, new PackedMachine(machine.pool(), machine.size(), !machine.isIdle())));
        }
        machines.sort(Comparator.<PackedOwned>comparingInt(
                        machine -> machine.machine().isIdle() ? 1 : 0)
                .thenComparingDouble(PackedOwned::pricePerCore));
        return machines;
    }

    /** Packs tasks onto owned and planned machines, and returns how many did not fit. */
    private int packOnOpen(JobDemand demand, int tasks) {
        int unpacked = tasks;
        for (PackedMachine machine : open) {
            if (unpacked == 0) {
                break;
            }
            unpacked -= machine.pack(demand, unpacked);
        }
        return unpacked;
    }

    /** Plans rentals for these tasks until all are packed or no pool can be scaled out for them. */
    private void planRentals(JobDemand demand, int tasks) {
        int unpacked = tasks;
        while (unpacked > 0) {
            Optional<PoolSelector.Offer> offer = pools.select(demand, unpacked);
            if (offer.isEmpty()) {
                return;
            }
            NodePool pool = offer.get().pool();
            PackedMachine machine = new PackedMachine(pool, offer.get().type().size(), false);
            int packed = machine.pack(demand, unpacked);
            if (packed == 0) {
                return;
            }
            unpacked -= packed;
            open.add(machine);
            scaleOut.merge(pool, 1, Integer::sum);
            pools.countMachine(pool);
        }
    }
}

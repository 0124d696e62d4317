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
 * Plans how the fleet scales: packs the demand on the owned machines first-fit, rents for what is left, and finds the
 * idle machines that nothing was packed on.
 */
public final class FleetPlanner {
    /** An owned machine with what is packed on it. */
    private record PackedOwned(OwnedMachine machine, double pricePerCore, PackedMachine packed) {}

    private final Map<String, MachineType> types;
    private final double horizonS;
    private final PoolSelector pools;
    private final Map<NodePool, Integer> scaleOut = new LinkedHashMap<>();
    /** Machines with cores for at least the smallest task. */
    private final List<PackedMachine> open = new ArrayList<>();

    private FleetPlanner(
            Map<String, MachineType> types, double horizonS, Predicate<NodePool> refused, Predicate<NodePool> late) {
        this.types = types;
        this.horizonS = horizonS;
        this.pools = new PoolSelector(types.values(), refused, late);
    }

    /**
     * Plans for this demand.
     *
     * @param demands in the order in which they are served
     * @param types by name
     * @param horizonS the backlog should be worked off in this time
     * @param refused pools that the cloud has lately refused
     * @param late pools whose machines come up late at present
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
            pools.machineAdded(machine.machine().pool());
        }
        double leastCores = demands.stream()
                .mapToDouble(demand -> demand.spec().demand().cores())
                .min()
                .orElse(0);
        for (JobDemand demand : demands) {
            int unpacked = packOnOpen(demand, demand.concurrentTasks(horizonS));
            scaleOut(demand, unpacked);
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

    /** Busy machines first, then by price, so that idle and dear ones stay unused and can be returned. */
    private List<PackedOwned> inPackingOrder(List<OwnedMachine> owned) {
        List<PackedOwned> machines = new ArrayList<>();
        for (OwnedMachine machine : owned) {
            MachineType type = types.get(machine.pool().type());
            double pricePerCore = type == null
                    ? Double.MAX_VALUE
                    : type.pricePerCore(machine.pool().spot());
            machines.add(new PackedOwned(machine, pricePerCore, new PackedMachine(machine.pool(), machine.size())));
        }
        machines.sort(Comparator.<PackedOwned>comparingInt(
                        machine -> machine.machine().isIdle() ? 1 : 0)
                .thenComparingDouble(PackedOwned::pricePerCore));
        return machines;
    }

    /** Packs tasks on machines there are, or will be, and gives how many found no place. */
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

    /** Plans machines for these tasks, as far as a pool can be scaled out. */
    private void scaleOut(JobDemand demand, int tasks) {
        int unpacked = tasks;
        while (unpacked > 0) {
            Optional<PoolSelector.Offer> offer = pools.select(demand, unpacked);
            if (offer.isEmpty()) {
                return;
            }
            NodePool pool = offer.get().pool();
            PackedMachine machine = new PackedMachine(pool, offer.get().type().size());
            int packed = machine.pack(demand, unpacked);
            if (packed == 0) {
                return;
            }
            unpacked -= packed;
            open.add(machine);
            scaleOut.merge(pool, 1, Integer::sum);
            pools.machineAdded(pool);
        }
    }
}

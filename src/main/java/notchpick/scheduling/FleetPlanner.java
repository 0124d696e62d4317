package notchpick.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** Decides which machines to rent, and which idle ones are not needed any more. */
public final class FleetPlanner {
    /** A machine that comes late at present counts as so many times dearer than one that does not. */
    private static final double LATE_PRICE = 2;

    private FleetPlanner() {}

    /**
     * What one job could use.
     *
     * @param tasks its unfinished tasks, running ones included
     * @param runS what one task is expected to run
     * @param pressed whether its users can't wait for cheap machines
     * @param atOnce whether all its tasks should run side by side
     */
    public record Need(JobSpec spec, int tasks, double runS, boolean pressed, boolean atOnce) {}

    /** A machine that is up or will be. */
    public record Owned(String name, NodePool pool, Resources size, boolean idle) {}

    /** What to rent, by pool, and the names of machines that nothing needs. */
    public record Plan(Map<NodePool, Integer> rent, Set<String> unneeded) {}

    private static final class Slot {
        private final Owned owned;
        private final NodePool pool;
        private final double pricePerCore;
        private Resources room;
        private boolean used;

        Slot(Owned owned, NodePool pool, double pricePerCore, Resources room) {
            this.owned = owned;
            this.pool = pool;
            this.pricePerCore = pricePerCore;
            this.room = room;
        }
    }

    /**
     * @param needs in the order in which they are served
     * @param horizonS the backlog should be worked off in this time
     * @param refused pools that the cloud has lately refused
     * @param late pools whose machines come late at present
     */
    public static Plan plan(
            List<Need> needs,
            List<Owned> owned,
            Map<String, MachineType> types,
            double horizonS,
            Predicate<NodePool> refused,
            Predicate<NodePool> late) {
        List<Slot> slots = new ArrayList<>();
        for (Owned machine : owned) {
            MachineType type = types.get(machine.pool().type());
            double price = type == null
                    ? Double.MAX_VALUE
                    : pricePerCore(type, machine.pool().spot());
            slots.add(new Slot(machine, machine.pool(), price, machine.size()));
        }
        // Busy machines first, then cheap ones: what stays unused is what can go.
        slots.sort(Comparator.<Slot>comparingInt(s -> s.owned.idle() ? 1 : 0).thenComparingDouble(s -> s.pricePerCore));
        Map<NodePool, Integer> rent = new LinkedHashMap<>();
        Map<NodePool, Integer> held = new HashMap<>();
        owned.forEach(machine -> held.merge(machine.pool(), 1, Integer::sum));
        double least = needs.stream()
                .mapToDouble(need -> need.spec().demand().cores())
                .min()
                .orElse(0);
        // Those that are full for every job are not looked at again, job after job.
        List<Slot> open = new ArrayList<>(slots);
        for (Need need : needs) {
            int wanted = wanted(need, horizonS);
            for (Slot slot : open) {
                if (wanted == 0) {
                    break;
                }
                wanted -= pack(need, slot, wanted);
            }
            while (wanted > 0) {
                NodePool pool = choosePool(need, wanted, types, held, refused, late);
                if (pool == null) {
                    break;
                }
                MachineType type = types.get(pool.type());
                Slot slot = new Slot(null, pool, pricePerCore(type, pool.spot()), type.size());
                int packed = pack(need, slot, wanted);
                if (packed == 0) {
                    break;
                }
                wanted -= packed;
                open.add(slot);
                rent.merge(pool, 1, Integer::sum);
                held.merge(pool, 1, Integer::sum);
            }
            open.removeIf(slot -> slot.room.cores() + Resources.EPSILON < least);
        }
        Set<String> unneeded = new HashSet<>();
        for (Slot slot : slots) {
            if (slot.owned != null && slot.owned.idle() && !slot.used) {
                unneeded.add(slot.owned.name());
            }
        }
        return new Plan(rent, unneeded);
    }

    /** As many tasks at once as finish the job's rest within the horizon. */
    private static int wanted(Need need, double horizonS) {
        if (need.atOnce() || need.spec().isService()) {
            return need.tasks();
        }
        double rounds = Math.max(1, Math.floor(horizonS / Math.max(need.runS(), 1)));
        return (int) Math.ceil(need.tasks() / rounds);
    }

    private static int pack(Need need, Slot slot, int wanted) {
        JobSpec spec = need.spec();
        if (slot.room.cores() + Resources.EPSILON < spec.demand().cores()
                || !spec.allows(slot.pool.type(), slot.pool.zone(), slot.pool.spot())
                || !slot.pool.spot() && spec.spot() && !need.pressed()) {
            return 0;
        }
        int count = Math.min(wanted, spec.demand().copiesFittingIn(slot.room));
        if (count > 0) {
            slot.room = slot.room.minus(spec.demand().times(count));
            slot.used = true;
        }
        return count;
    }

    /**
     * The pool that gives the job its cores most cheaply, a machine's unused rest included; among equals
     * the one of which least is held, so that one wave of taken machines doesn't take all.
     */
    private static NodePool choosePool(
            Need need,
            int wanted,
            Map<String, MachineType> types,
            Map<NodePool, Integer> held,
            Predicate<NodePool> refused,
            Predicate<NodePool> late) {
        NodePool best = null;
        double bestPrice = 0;
        for (boolean spot : new boolean[] {true, false}) {
            if (best != null || !spot && need.spec().spot() && !need.pressed()) {
                break;
            }
            for (MachineType type : types.values()) {
                for (String zone : type.zones()) {
                    NodePool pool = new NodePool(type.name(), zone, spot);
                    if (!need.spec().allows(type.name(), zone, spot)
                            || !need.spec().demand().fitsIn(type.size())
                            || refused.test(pool)) {
                        continue;
                    }
                    int tasks = Math.min(wanted, need.spec().demand().copiesFittingIn(type.size()));
                    double used = Math.max(tasks * need.spec().demand().cores(), 1e-3);
                    double price = (spot ? type.spotPrice() : type.price()) / used * (late.test(pool) ? LATE_PRICE : 1);
                    if (best == null
                            || price < bestPrice
                            || price == bestPrice && held.getOrDefault(pool, 0) < held.getOrDefault(best, 0)) {
                        best = pool;
                        bestPrice = price;
                    }
                }
            }
        }
        return best;
    }

    private static double pricePerCore(MachineType type, boolean spot) {
        return (spot ? type.spotPrice() : type.price()) / Math.max(type.size().cores(), 1);
    }
}

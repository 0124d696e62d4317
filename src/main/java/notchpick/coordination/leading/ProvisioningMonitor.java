package notchpick.coordination.leading;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import notchpick.bookkeeping.ClusterState;
import notchpick.bookkeeping.Machine;
import notchpick.bookkeeping.Machine.Life;
import notchpick.scheduling.FleetPlan.Pool;

/**
 * Tells a machine that never comes up from an hour in which all come late. The first is given up and
 * replaced; to do so with the others would be a treadmill: each is paid for and given up shortly before
 * it would have come, and nothing ever comes up.
 */
final class ProvisioningMonitor {
    /** A machine that comes at all is usually up after 1.5 boot times. */
    private static final double OVERDUE_BOOTS = 2.5;

    private static final int OVERDUE_REPORTS = 3;
    /** While all are late, this part of a pool is replaced at a time: should none of them ever come, these will. */
    private static final double REPLACED_PART = 0.25;

    private final ClusterState cluster;
    private final ToDoubleFunction<String> nominalMs;
    private final double reportMs;
    private final Map<Pool, Long> replacedAt = new HashMap<>();
    /** Pools in which all are late, with the age of the oldest that is awaited. */
    private final Map<Pool, Long> late = new HashMap<>();

    /** @param nominalMs how long machines of a type usually take to boot */
    ProvisioningMonitor(ClusterState cluster, ToDoubleFunction<String> nominalMs, double reportMs) {
        this.cluster = cluster;
        this.nominalMs = nominalMs;
        this.reportMs = reportMs;
    }

    /** Whether all that is awaited from there is late; another pool may be sound. */
    boolean isLate(Pool pool) {
        return late.containsKey(pool);
    }

    /** Whether what is returned now could not soon be had again. */
    boolean areLate() {
        return !late.isEmpty();
    }

    /** How long a machine of the type takes to come up at present, as far as that is known. */
    double expectedMs(String type) {
        double expected = nominalMs.applyAsDouble(type);
        for (Map.Entry<Pool, Long> entry : late.entrySet()) {
            if (entry.getKey().type().equals(type)) {
                expected = Math.max(expected, entry.getValue());
            }
        }
        return expected;
    }

    /** One look at what is booting; gives the machines that need not be waited for any more. */
    Set<Machine> review(long now) {
        late.clear();
        Map<Pool, List<Machine>> overdue = new HashMap<>();
        for (Machine machine : cluster.machines.values()) {
            if (machine.life == Life.BOOTING
                    && now - machine.knownSince
                            > OVERDUE_BOOTS * nominalMs.applyAsDouble(machine.type()) + OVERDUE_REPORTS * reportMs) {
                overdue.computeIfAbsent(machine.pool, pool -> new ArrayList<>()).add(machine);
            }
        }
        Set<Machine> givenUp = new HashSet<>();
        overdue.forEach((pool, machines) -> givenUp.addAll(review(pool, machines, now)));
        return givenUp;
    }

    private List<Machine> review(Pool pool, List<Machine> overdue, long now) {
        List<Machine> faulty = new ArrayList<>();
        List<Machine> awaited = new ArrayList<>();
        for (Machine machine : overdue) {
            (othersCame(machine, overdue) ? faulty : awaited).add(machine);
        }
        if (!awaited.isEmpty()) {
            awaited.sort(Comparator.comparingLong(machine -> machine.knownSince));
            late.put(pool, now - awaited.get(0).knownSince);
            Long last = replacedAt.get(pool);
            if (last == null || now - last >= OVERDUE_BOOTS * nominalMs.applyAsDouble(pool.type())) {
                replacedAt.put(pool, now);
                faulty.addAll(awaited.subList(0, (int) Math.ceil(awaited.size() * REPLACED_PART)));
            }
        }
        return faulty;
    }

    /** Whether of its pool as many as are overdue came up that were rented with it, or any that was much later. */
    private boolean othersCame(Machine machine, List<Machine> overdue) {
        int came = 0;
        for (Machine other : cluster.machines.values()) {
            boolean isUp = other.life == Life.UP || other.life == Life.LEAVING;
            if (isUp && other.pool.equals(machine.pool)) {
                if (other.knownSince - machine.knownSince > nominalMs.applyAsDouble(machine.type())) {
                    return true;
                }
                came += other.knownSince >= machine.knownSince - reportMs ? 1 : 0;
            }
        }
        return came >= overdue.size();
    }
}

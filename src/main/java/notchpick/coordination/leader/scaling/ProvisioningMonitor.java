package notchpick.coordination.leader.scaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.ClusterState;
import notchpick.model.Machine;
import notchpick.model.MachineTypeCatalog;
import notchpick.scheduling.NodePool;

/**
 * Distinguishes a machine that never comes up from a time in which all come up late. The first is given up and
 * replaced. Doing so with the others would be in vain: each would be paid for and given up shortly before it comes up.
 */
final class ProvisioningMonitor {
    /** A machine that comes at all is usually up after 1.5 boot times. */
    private static final double OVERDUE_BOOT_TIMES = 2.5;

    private static final int OVERDUE_HEARTBEAT_PERIODS = 3;
    /** While all are late, this part of a pool is replaced at a time: should none of them ever come, these will. */
    private static final double REPLACED_RATIO = 0.25;

    private final ClusterState cluster;
    private final MachineTypeCatalog types;
    private final long heartbeatPeriodMs;
    private final Map<NodePool, Long> replacedAt = new HashMap<>();
    /** Pools in which all are late, with the age of the oldest that is awaited. */
    private final Map<NodePool, Long> late = new HashMap<>();

    ProvisioningMonitor(TermContext context) {
        this.cluster = context.cluster();
        this.types = context.machineTypes();
        this.heartbeatPeriodMs = context.heartbeatPeriodMs();
    }

    /** Whether all that is awaited from there is late; another pool may be sound. */
    boolean isLate(NodePool pool) {
        return late.containsKey(pool);
    }

    /** Whether what is returned now could not soon be had again. */
    boolean isAnyLate() {
        return !late.isEmpty();
    }

    /** How long a machine of the type takes to come up at present, as far as that is known. */
    double expectedBootMs(String type) {
        double expected = types.bootMs(type);
        for (Map.Entry<NodePool, Long> entry : late.entrySet()) {
            if (entry.getKey().type().equals(type)) {
                expected = Math.max(expected, entry.getValue());
            }
        }
        return expected;
    }

    /** One look at what is booting; gives the machines that need not be waited for any more. */
    Set<Machine> review(long now) {
        late.clear();
        Map<NodePool, List<Machine>> overdue = new HashMap<>();
        for (Machine machine : cluster.machines()) {
            if (machine.state() == Machine.State.PROVISIONING
                    && now - machine.provisionedAtMs()
                            > OVERDUE_BOOT_TIMES * types.bootMs(machine.type())
                                    + OVERDUE_HEARTBEAT_PERIODS * heartbeatPeriodMs) {
                overdue.computeIfAbsent(machine.pool(), pool -> new ArrayList<>())
                        .add(machine);
            }
        }
        Set<Machine> givenUp = new HashSet<>();
        overdue.forEach((pool, machines) -> givenUp.addAll(review(pool, machines, now)));
        return givenUp;
    }

    private List<Machine> review(NodePool pool, List<Machine> overdue, long now) {
        List<Machine> faulty = new ArrayList<>();
        List<Machine> awaited = new ArrayList<>();
        for (Machine machine : overdue) {
            (othersCame(machine, overdue) ? faulty : awaited).add(machine);
        }
        if (!awaited.isEmpty()) {
            awaited.sort(Comparator.comparingLong(machine -> machine.provisionedAtMs()));
            late.put(pool, now - awaited.get(0).provisionedAtMs());
            Long last = replacedAt.get(pool);
            if (last == null || now - last >= OVERDUE_BOOT_TIMES * types.bootMs(pool.type())) {
                replacedAt.put(pool, now);
                faulty.addAll(awaited.subList(0, (int) Math.ceil(awaited.size() * REPLACED_RATIO)));
            }
        }
        return faulty;
    }

    /** Whether of its pool as many as are overdue came up that were rented with it, or any that was much later. */
    private boolean othersCame(Machine machine, List<Machine> overdue) {
        int came = 0;
        for (Machine other : cluster.machines()) {
            if (other.isInService() && other.pool().equals(machine.pool())) {
                if (other.provisionedAtMs() - machine.provisionedAtMs() > types.bootMs(machine.type())) {
                    return true;
                }
                came += other.provisionedAtMs() >= machine.provisionedAtMs() - heartbeatPeriodMs ? 1 : 0;
            }
        }
        return came >= overdue.size();
    }
}

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
 * Distinguishes a faulty machine, which never boots, from a late pool, whose machines all take longer than usual. A
 * faulty machine is given up, so that it is replaced. Most machines of a late pool are kept: otherwise each would be
 * paid for and given up shortly before it is ready.
 */
final class ProvisioningMonitor {
    /** A machine that boots at all is usually ready after 1.5 boot times. */
    private static final double OVERDUE_BOOT_TIMES = 2.5;

    private static final int OVERDUE_HEARTBEAT_PERIODS = 3;
    /** The fraction of a late pool's machines that is given up at a time, in case none of them ever boots. */
    private static final double REPLACED_RATIO = 0.25;

    private final ClusterState cluster;
    private final MachineTypeCatalog types;
    private final long heartbeatPeriodMs;
    private final Map<NodePool, Long> replacedAtMs = new HashMap<>();
    /** The late pools, with the age of the oldest overdue machine in each, not counting faulty ones. */
    private final Map<NodePool, Long> lateAgeMs = new HashMap<>();

    ProvisioningMonitor(TermContext context) {
        this.cluster = context.cluster();
        this.types = context.machineTypes();
        this.heartbeatPeriodMs = context.heartbeatPeriodMs();
    }

    /** Whether the pool is late. Other pools may be on time. */
    boolean isLate(NodePool pool) {
        return lateAgeMs.containsKey(pool);
    }

    /** Whether any pool is late, so that a released machine could not be replaced soon. */
    boolean isAnyLate() {
        return !lateAgeMs.isEmpty();
    }

    /** The boot time of the type, or the age of the oldest overdue machine in its late pools if that is longer. */
    double expectedBootMs(String type) {
        double expectedMs = types.bootMs(type);
        for (Map.Entry<NodePool, Long> entry : lateAgeMs.entrySet()) {
            if (entry.getKey().type().equals(type)) {
                expectedMs = Math.max(expectedMs, entry.getValue());
            }
        }
        return expectedMs;
    }

    /** Checks the machines that are booting, and returns those to give up. */
    Set<Machine> review(long nowMs) {
        lateAgeMs.clear();
        Map<NodePool, List<Machine>> overdue = new HashMap<>();
        for (Machine machine : cluster.machines()) {
            if (machine.state() == Machine.State.PROVISIONING
                    && nowMs - machine.provisionedAtMs()
                            > OVERDUE_BOOT_TIMES * types.bootMs(machine.type())
                                    + OVERDUE_HEARTBEAT_PERIODS * heartbeatPeriodMs) {
                overdue.computeIfAbsent(machine.pool(), pool -> new ArrayList<>())
                        .add(machine);
            }
        }
        Set<Machine> givenUp = new HashSet<>();
        overdue.forEach((pool, machines) -> givenUp.addAll(reviewPool(pool, machines, nowMs)));
        return givenUp;
    }

    private List<Machine> reviewPool(NodePool pool, List<Machine> overdue, long nowMs) {
        List<Machine> givenUp = new ArrayList<>();
        List<Machine> awaited = new ArrayList<>();
        for (Machine machine : overdue) {
            (isFaulty(machine, overdue) ? givenUp : awaited).add(machine);
        }
        if (!awaited.isEmpty()) {
            awaited.sort(Comparator.comparingLong(machine -> machine.provisionedAtMs()));
            lateAgeMs.put(pool, nowMs - awaited.get(0).provisionedAtMs());
            Long lastReplacedAtMs = replacedAtMs.get(pool);
            if (lastReplacedAtMs == null
                    || nowMs - lastReplacedAtMs >= OVERDUE_BOOT_TIMES * types.bootMs(pool.type())) {
                replacedAtMs.put(pool, nowMs);
                givenUp.addAll(awaited.subList(0, (int) Math.ceil(awaited.size() * REPLACED_RATIO)));
            }
        }
        return givenUp;
    }

    /**
     * Whether the machine itself is faulty, rather than its pool being late. This is assumed in two cases: a machine of
     * the pool that was rented more than a boot time later is in service, or the machines in service that were rented
     * with it or later are at least as many as the overdue ones.
     */
    private boolean isFaulty(Machine machine, List<Machine> overdue) {
        int booted = 0;
        for (Machine other : cluster.machines()) {
            if (other.isInService() && other.pool().equals(machine.pool())) {
                if (other.provisionedAtMs() - machine.provisionedAtMs() > types.bootMs(machine.type())) {
                    return true;
                }
                booted += other.provisionedAtMs() >= machine.provisionedAtMs() - heartbeatPeriodMs ? 1 : 0;
            }
        }
        return booted >= overdue.size();
    }
}

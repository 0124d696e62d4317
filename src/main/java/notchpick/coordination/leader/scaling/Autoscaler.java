package notchpick.coordination.leader.scaling;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.ClusterState;
import notchpick.model.Machine;
import notchpick.protocol.CloudClient;
import notchpick.scheduling.FleetPlanner;
import notchpick.scheduling.OwnedMachine;
import notchpick.scheduling.ScalingPlan;
import notchpick.storage.FencedWriter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Compares the demand of the open jobs with the rented machines, rents missing ones and releases unneeded ones. */
public final class Autoscaler {
    private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);
    /**
     * A machine without a heartbeat for this fraction of the worker lease counts as silent: the plan gives it no new
     * tasks, and zone outages are detected from the number of such machines.
     */
    private static final double SILENT_LEASE_RATIO = 0.4;
    /** Enough machines are rented to work off the backlog within this many boot times of the slowest type. */
    private static final double PLANNING_HORIZON_BOOT_TIMES = 2;

    private final TermContext context;
    private final ClusterState cluster;
    private final ProvisioningMonitor provisioning;
    private final DemandEstimator demand;
    private final MachineRenter renter;
    private final RetirementPolicy retirement;
    private final MachineReleaser releaser;
    private final CloudInventory inventory;

    /**
     * @param onMachineRemoved is notified of each machine whose release the cloud has confirmed; it runs no tasks
     * @param requestReview is run when the cloud has rented out fewer machines than requested, to review again at once
     */
    public Autoscaler(
            TermContext context,
            CloudClient cloud,
            FencedWriter writer,
            Consumer<Machine> onMachineRemoved,
            Runnable requestReview) {
        this.context = context;
        this.cluster = context.cluster();
        this.provisioning = new ProvisioningMonitor(context);
        this.renter = new MachineRenter(context, cloud, requestReview);
        this.demand = new DemandEstimator(context, renter::wasRefused);
        this.retirement = new RetirementPolicy(context, provisioning);
        this.releaser = new MachineReleaser(context, cloud, writer, onMachineRemoved);
        this.inventory = new CloudInventory(context, cloud);
    }

    /** Loads the machines whose release a former leader may have requested. */
    public void loadReleased(List<String> names) {
        releaser.load(names);
    }

    /** Starts to read the cloud's list of machines. */
    public void refreshInventory() {
        inventory.refresh();
    }

    /** Whether machines of any pool boot late at present, so that a released machine could not be replaced soon. */
    public boolean isProvisioningLate() {
        return provisioning.isAnyLate();
    }

    /**
     * Plans the fleet once: gives up machines that fail to boot, rents missing ones and releases unneeded ones. Does
     * nothing until the cloud's list has been read.
     *
     * @param awakeSinceMs the end of this process's last pause; silence before then does not count
     */
    public void review(long awakeSinceMs) {
        if (!inventory.isComplete()) {
            // Machines that a former leader rented may not be known yet; they must not be rented a second time.
            return;
        }
        long nowMs = context.nowMs();
        for (Machine machine : provisioning.review(nowMs)) {
            LOG.warn("machine never came up: machine={} ageMs={}", machine.name(), nowMs - machine.provisionedAtMs());
            machine.release();
        }
        ScalingPlan plan = FleetPlanner.plan(
                demand.demands(),
                ownedMachines(awakeSinceMs, nowMs),
                context.machineTypes().byName(),
                PLANNING_HORIZON_BOOT_TIMES * context.machineTypes().longestBootS(),
                renter::wasRefused,
                provisioning::isLate);
        plan.scaleOut().forEach(renter::rent);
        retire(plan, awakeSinceMs, nowMs);
        releaser.releaseMarked();
    }

    private List<OwnedMachine> ownedMachines(long awakeSinceMs, long nowMs) {
        List<OwnedMachine> owned = new ArrayList<>();
        for (Machine machine : cluster.machines()) {
            boolean isUsable = machine.state() == Machine.State.READY
                    && machine.reclaimNoticeS() == null
                    // A silent idle machine takes no new tasks. A silent machine with tasks still counts, so that no
                    // second machine is rented for them.
                    && (!machine.isIdle() || silentMs(machine, awakeSinceMs, nowMs) <= silentThresholdMs());
            if (machine.state() == Machine.State.PROVISIONING || isUsable) {
                owned.add(new OwnedMachine(machine.name(), machine.pool(), machine.size(), machine.isIdle()));
            }
        }
        return owned;
    }

    private void retire(ScalingPlan plan, long awakeSinceMs, long nowMs) {
        ZoneOutageDetector outages =
                new ZoneOutageDetector(cluster.machines(), nowMs, awakeSinceMs, silentThresholdMs());
        for (Machine machine : cluster.machines()) {
            boolean isUnneeded = plan.unneeded().contains(machine.name());
            long silentMs = silentMs(machine, awakeSinceMs, nowMs);
            if (retirement.isDueForRelease(machine, isUnneeded, silentMs, outages.hasOutage(machine.zone()), nowMs)) {
                machine.release();
            }
        }
    }

    private static long silentMs(Machine machine, long awakeSinceMs, long nowMs) {
        return nowMs - Math.max(machine.lastHeartbeatAtMs(), awakeSinceMs);
    }

    private double silentThresholdMs() {
        return context.deployment().workerLeaseMs() * SILENT_LEASE_RATIO;
    }
}

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

/** Compares the demand with the machines there are, rents what is missing and releases what is not needed. */
public final class Autoscaler {
    private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);
    /** A machine silent for this part of the worker lease gets no new tasks, and counts as silent with its zone. */
    private static final double SILENT_LEASE_RATIO = 0.4;
    /** Renting is planned for the backlog of so many boot times. */
    private static final double HORIZON_BOOTS = 2;

    private final TermContext context;
    private final ClusterState cluster;
    private final ProvisioningMonitor provisioning;
    private final DemandEstimator demand;
    private final MachineRenter renter;
    private final RetirementPolicy retirement;
    private final MachineReleaser releaser;
    private final CloudInventory inventory;

    /**
     * @param machineGone is notified of machines on which surely nothing runs any more
     * @param reviewDue is run when the cloud has given less than was asked for, so that a review is due at once
     */
    public Autoscaler(
            TermContext context,
            CloudClient cloud,
            FencedWriter writer,
            Consumer<Machine> machineGone,
            Runnable reviewDue) {
        this.context = context;
        this.cluster = context.cluster();
        this.provisioning = new ProvisioningMonitor(context);
        this.renter = new MachineRenter(context, cloud, reviewDue);
        this.demand = new DemandEstimator(context, renter::wasRefused);
        this.retirement = new RetirementPolicy(context, provisioning);
        this.releaser = new MachineReleaser(context, cloud, writer, machineGone);
        this.inventory = new CloudInventory(context, cloud);
    }

    /** Takes in the machines whose release a former leader may have requested. */
    public void loadReleased(List<String> names) {
        releaser.load(names);
    }

    /** Reads the cloud's list of machines. */
    public void refreshInventory() {
        inventory.refresh();
    }

    /** Whether machines come up so late at present that none should be released lightly. */
    public boolean isProvisioningLate() {
        return provisioning.isAnyLate();
    }

    /**
     * Compares the demand with the machines there are.
     *
     * @param awakeSince silence from before then does not count
     */
    public void review(long awakeSince) {
        if (!inventory.isComplete()) {
            // What a former leader rented is not known yet; it must not be rented once more.
            return;
        }
        long now = context.nowMs();
        for (Machine machine : provisioning.review(now)) {
            LOG.warn("machine never came up: machine={} ageMs={}", machine.name(), now - machine.provisionedAtMs());
            machine.release();
        }
        ScalingPlan plan = FleetPlanner.plan(
                demand.demands(),
                ownedMachines(awakeSince, now),
                context.machineTypes().byName(),
                HORIZON_BOOTS * context.machineTypes().longestBootS(),
                renter::wasRefused,
                provisioning::isLate);
        plan.scaleOut().forEach(renter::rent);
        retire(plan, awakeSince, now);
        releaser.releaseMarked();
    }

    private List<OwnedMachine> ownedMachines(long awakeSince, long now) {
        List<OwnedMachine> owned = new ArrayList<>();
        for (Machine machine : cluster.machines()) {
            boolean isUsable = machine.state() == Machine.State.READY
                    && machine.reclaimNoticeS() == null
                    // What is silent takes nothing new; what runs there is not rented for twice.
                    && (!machine.isIdle() || silentMs(machine, awakeSince, now) <= silentThresholdMs());
            if (machine.state() == Machine.State.PROVISIONING || isUsable) {
                owned.add(new OwnedMachine(machine.name(), machine.pool(), machine.size(), machine.isIdle()));
            }
        }
        return owned;
    }

    private void retire(ScalingPlan plan, long awakeSince, long now) {
        ZoneOutageDetector outages = new ZoneOutageDetector(cluster.machines(), now, awakeSince, silentThresholdMs());
        for (Machine machine : cluster.machines()) {
            boolean unneeded = plan.unneeded().contains(machine.name());
            long silentMs = silentMs(machine, awakeSince, now);
            if (retirement.mustRelease(machine, unneeded, silentMs, outages.covers(machine.zone()), now)) {
                machine.release();
            }
        }
    }

    private static long silentMs(Machine machine, long awakeSince, long now) {
        return now - Math.max(machine.lastHeartbeatAtMs(), awakeSince);
    }

    private double silentThresholdMs() {
        return context.deployment().workerLeaseMs() * SILENT_LEASE_RATIO;
    }
}

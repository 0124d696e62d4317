package notchpick.coordination.leader.scaling;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.ClusterState;
import notchpick.model.Machine;
import notchpick.protocol.CloudClient;
import notchpick.scheduling.NodePool;
import notchpick.scheduling.Resources;
import notchpick.storage.FencedWriter;
import notchpick.storage.KeyWrite;
import notchpick.storage.PreparedChange;
import notchpick.storage.ReleasedMachinesCodec;
import notchpick.storage.StateKeys;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Scales in: records which machines are to be released, and then requests their release until the cloud confirms it.
 * The record becomes durable first, so that no later leader uses a machine whose release has been requested.
 */
final class MachineReleaser {
    private static final Logger LOG = LoggerFactory.getLogger(MachineReleaser.class);
    /** Upper bound of the bytes that the record takes in addition to the names of the machines. */
    private static final int MAX_RECORD_OVERHEAD_BYTES = 64;

    private final TermContext context;
    private final ClusterState cluster;
    private final CloudClient cloud;
    private final FencedWriter writer;
    private final Consumer<Machine> onMachineRemoved;
    private boolean requestOpen;

    /** @param onMachineRemoved is notified of each machine whose release the cloud has confirmed; it runs no tasks */
    MachineReleaser(TermContext context, CloudClient cloud, FencedWriter writer, Consumer<Machine> onMachineRemoved) {
        this.context = context;
        this.cluster = context.cluster();
        this.cloud = cloud;
        this.writer = writer;
        this.onMachineRemoved = onMachineRemoved;
    }

    /** Loads the machines whose release a former leader may have requested, so that they are not used again. */
    void load(List<String> names) {
        for (String name : names) {
            Machine machine =
                    cluster.machineOrAdd(name, n -> new Machine(n, NodePool.UNKNOWN, Resources.NONE, context.nowMs()));
            machine.release();
            machine.markReleaseDurable();
        }
    }

    /** Records the machines that are marked as released, and requests the release of those already recorded. */
    void releaseMarked() {
        boolean isAnyUnrecorded = false;
        for (Machine machine : cluster.machines()) {
            isAnyUnrecorded |= machine.state() == Machine.State.RELEASED && !machine.isReleaseDurable();
        }
        if (isAnyUnrecorded) {
            writer.write(StateKeys.RELEASED_MACHINES, this::prepareRecord);
        }
        requestRelease();
    }

    /**
     * Prepares a record of all machines whose release may have been requested, and of as many other released machines
     * as fit into one value. If the list is already too long, because a version with a higher limit wrote it, nothing
     * is added until the cloud has confirmed enough releases.
     */
    private Optional<PreparedChange> prepareRecord() {
        List<Machine> recorded = releasedMachines(true);
        int bytes = recorded.stream().mapToInt(ReleasedMachinesCodec::maxBytes).sum();
        List<Machine> machines = new ArrayList<>(recorded);
        for (Machine machine : releasedMachines(false)) {
            int machineBytes = ReleasedMachinesCodec.maxBytes(machine);
            if (bytes + machineBytes <= context.deployment().maxValueBytes() - MAX_RECORD_OVERHEAD_BYTES) {
                machines.add(machine);
                bytes += machineBytes;
            }
        }
        if (machines.size() == recorded.size()) {
            return Optional.empty();
        }
        KeyWrite write = KeyWrite.put(StateKeys.RELEASED_MACHINES, ReleasedMachinesCodec.encode(machines))
                .withMaxBytes(bytes + MAX_RECORD_OVERHEAD_BYTES);
        return Optional.of(new PreparedChange(List.of(write), () -> {
            machines.forEach(Machine::markReleaseDurable);
            requestRelease();
        }));
    }

    private List<Machine> releasedMachines(boolean isDurable) {
        return cluster.machines().stream()
                .filter(machine -> machine.state() == Machine.State.RELEASED && machine.isReleaseDurable() == isDurable)
                .toList();
    }

    private void requestRelease() {
        if (requestOpen) {
            return;
        }
        List<String> names = cluster.machines().stream()
                .filter(Machine::isReleaseDurable)
                .limit(CloudClient.MAX_MACHINES_PER_RELEASE)
                .map(Machine::name)
                .toList();
        if (names.isEmpty()) {
            return;
        }
        requestOpen = true;
        cloud.release(
                names,
                confirmed -> context.timer().schedule(0, () -> {
                    requestOpen = false;
                    if (confirmed) {
                        removeMachines(names);
                        requestRelease();
                    }
                }));
    }

    private void removeMachines(List<String> names) {
        LOG.info("machines released: count={} machines={}", names.size(), names);
        for (String name : names) {
            Machine machine = cluster.machine(name);
            onMachineRemoved.accept(machine);
            cluster.removeMachine(machine);
        }
    }
}

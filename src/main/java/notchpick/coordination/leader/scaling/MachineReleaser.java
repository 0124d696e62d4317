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
 * A release is recorded first, so that no later leader uses a machine that is going away.
 */
final class MachineReleaser {
    private static final Logger LOG = LoggerFactory.getLogger(MachineReleaser.class);
    /** The most that surrounds the names of released machines in their record. */
    private static final int RECORD_FRAME_BYTES = 64;

    private final TermContext context;
    private final ClusterState cluster;
    private final CloudClient cloud;
    private final FencedWriter writer;
    private final Consumer<Machine> machineGone;
    private boolean requestOpen;

    /** @param machineGone is notified of machines on which surely nothing runs any more */
    MachineReleaser(TermContext context, CloudClient cloud, FencedWriter writer, Consumer<Machine> machineGone) {
        this.context = context;
        this.cluster = context.cluster();
        this.cloud = cloud;
        this.writer = writer;
        this.machineGone = machineGone;
    }

    /** Takes in the machines whose release a former leader may have requested: they are not to be used again. */
    void load(List<String> names) {
        for (String name : names) {
            Machine machine = cluster.machineOrAdd(
                    name, n -> new Machine(n, new NodePool("", "", false), Resources.NONE, context.nowMs()));
            machine.release();
            machine.markReleaseDurable();
        }
    }

    /** Records what has been marked as released, and requests the release of what is recorded. */
    void releaseMarked() {
        boolean unrecorded = false;
        for (Machine machine : cluster.machines()) {
            unrecorded |= machine.state() == Machine.State.RELEASED && !machine.isReleaseDurable();
        }
        if (unrecorded) {
            writer.write(StateKeys.RELEASED_MACHINES, this::prepareRecord);
        }
        requestRelease();
    }

    /**
     * Names all machines whose release may have been requested, and of the others that are to be released as many as
     * one value takes. A list that is too long already, by another version's limit, stays until enough are confirmed.
     */
    private Optional<PreparedChange> prepareRecord() {
        List<Machine> recorded = released(true);
        int bytes = recorded.stream().mapToInt(ReleasedMachinesCodec::maxBytes).sum();
        List<Machine> names = new ArrayList<>(recorded);
        for (Machine machine : released(false)) {
            int size = ReleasedMachinesCodec.maxBytes(machine);
            if (bytes + size <= context.deployment().maxValueBytes() - RECORD_FRAME_BYTES) {
                names.add(machine);
                bytes += size;
            }
        }
        if (names.size() == recorded.size()) {
            return Optional.empty();
        }
        KeyWrite write = KeyWrite.put(StateKeys.RELEASED_MACHINES, ReleasedMachinesCodec.encode(names))
                .withMaxBytes(bytes + RECORD_FRAME_BYTES);
        return Optional.of(new PreparedChange(List.of(write), () -> {
            names.forEach(Machine::markReleaseDurable);
            requestRelease();
        }));
    }

    private List<Machine> released(boolean durable) {
        return cluster.machines().stream()
                .filter(machine -> machine.state() == Machine.State.RELEASED && machine.isReleaseDurable() == durable)
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
                        confirmed(names);
                        requestRelease();
                    }
                }));
    }

    private void confirmed(List<String> names) {
        LOG.info("machines released: count={} machines={}", names.size(), names);
        for (String name : names) {
            Machine machine = cluster.machine(name);
            machineGone.accept(machine);
            cluster.removeMachine(machine);
        }
    }
}

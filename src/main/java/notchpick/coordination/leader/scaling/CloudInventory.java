package notchpick.coordination.leader.scaling;

import java.util.List;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.ClusterState;
import notchpick.model.Machine;
import notchpick.protocol.CloudClient;
import notchpick.protocol.CloudClient.ListedMachine;
import notchpick.protocol.CloudClient.Page;
import notchpick.scheduling.Milliseconds;
import notchpick.scheduling.NodePool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the cloud's list of rented machines, adds the unknown ones to the cluster and releases the failed ones. */
final class CloudInventory {
    private static final Logger LOG = LoggerFactory.getLogger(CloudInventory.class);

    private final TermContext context;
    private final ClusterState cluster;
    private final CloudClient cloud;
    private boolean complete;

    CloudInventory(TermContext context, CloudClient cloud) {
        this.context = context;
        this.cluster = context.cluster();
        this.cloud = cloud;
    }

    /** Whether the whole list has been read during this term. */
    boolean isComplete() {
        return complete;
    }

    /** Starts to read the whole list, page by page. */
    void refresh() {
        readPage(null);
    }

    private void readPage(String after) {
        cloud.list(after, page -> context.timer().schedule(0, () -> page.ifPresent(this::handlePage)));
    }

    private void handlePage(Page page) {
        List<ListedMachine> machines = page.machines();
        machines.forEach(this::addOrRelease);
        if (page.hasMore() && !machines.isEmpty()) {
            readPage(machines.get(machines.size() - 1).machine());
        } else {
            complete = true;
        }
    }

    private void addOrRelease(ListedMachine listed) {
        if (cluster.isRemoved(listed.machine())) {
            return;
        }
        Machine machine = cluster.machineOrAdd(listed.machine(), name -> newMachine(listed));
        if (listed.state() == CloudClient.MachineState.FAILED && machine.state() != Machine.State.RELEASED) {
            LOG.warn("machine failed: machine={} type={} zone={}", machine.name(), machine.type(), machine.zone());
            machine.release();
        }
    }

    private Machine newMachine(ListedMachine listed) {
        long nowMs = context.nowMs();
        NodePool pool = new NodePool(listed.type(), listed.zone(), listed.spot());
        Machine machine =
                new Machine(listed.machine(), pool, context.machineTypes().size(listed.type()), nowMs);
        machine.setProvisionedAtMs(nowMs - (long) (listed.ageS() * Milliseconds.PER_SECOND));
        return machine;
    }
}

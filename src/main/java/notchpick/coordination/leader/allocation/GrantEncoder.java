package notchpick.coordination.leader.allocation;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.Job;
import notchpick.model.Machine;
import notchpick.protocol.peer.Grant;
import notchpick.protocol.peer.Room;
import notchpick.protocol.peer.Want;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.Resources;

/** Encodes a resource lease as the grant message to its holder. */
final class GrantEncoder {
    private final TermContext context;
    private final long leaseMs;

    /** @param leaseMs how long a resource lease lasts */
    GrantEncoder(TermContext context, long leaseMs) {
        this.context = context;
        this.leaseMs = leaseMs;
    }

    /** Encodes the lease. For each machine, the grant lists only the images that the leased tasks need. */
    Grant encode(ResourceLease lease) {
        return new Grant(
                context.term(), lease.number(), lease.team(), leaseMs, encodeMachines(lease), encodeTasks(lease));
    }

    private static List<Room> encodeMachines(ResourceLease lease) {
        Set<String> images = new HashSet<>();
        lease.tasks().keySet().forEach(job -> images.add(job.spec().image()));
        List<Room> machines = new ArrayList<>();
        lease.resources().forEach((machine, leased) -> machines.add(encodeMachine(machine, leased, images)));
        return machines;
    }

    private static Room encodeMachine(Machine machine, Resources leased, Set<String> images) {
        return new Room(
                machine.name(),
                machine.type(),
                machine.zone(),
                machine.isSpot(),
                leased.cores(),
                leased.gpus(),
                leased.ram(),
                images.stream().filter(machine.images()::contains).toList());
    }

    private List<Want> encodeTasks(ResourceLease lease) {
        List<Want> wants = new ArrayList<>();
        lease.tasks().forEach((job, tasks) -> wants.add(encodeTasks(lease, job, tasks)));
        return wants;
    }

    private Want encodeTasks(ResourceLease lease, Job job, BitSet tasks) {
        JobSpec spec = job.spec();
        String zone = spec.colocated() ? lease.machines().iterator().next().zone() : spec.zone();
        return new Want(
                spec.id(),
                spec.demand().cores(),
                spec.demand().gpus(),
                spec.demand().ram(),
                spec.image(),
                spec.types(),
                zone,
                spec.spot(),
                remainingByZone(spec),
                tasks.stream().boxed().toList());
    }

    /** How many more tasks of the job may be placed in each zone; empty if the job need not be spread over zones. */
    private Map<String, Integer> remainingByZone(JobSpec spec) {
        Map<String, Integer> remaining = new HashMap<>();
        if (spec.spread()) {
            Map<String, Integer> placed = context.cluster().tasksByZone(spec.id());
            for (String zone : context.deployment().zones()) {
                remaining.put(zone, spec.maxTasksPerZone() - placed.getOrDefault(zone, 0));
            }
        }
        return remaining;
    }
}

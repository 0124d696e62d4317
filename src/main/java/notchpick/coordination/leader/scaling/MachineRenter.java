package notchpick.coordination.leader.scaling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.Machine;
import notchpick.protocol.CloudClient;
import notchpick.protocol.RentResult.NoCapacity;
import notchpick.protocol.RentResult.Rented;
import notchpick.scheduling.Milliseconds;
import notchpick.scheduling.NodePool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Scales out: rents machines from the cloud, one request at a time for each pool. */
final class MachineRenter {
    private static final Logger LOG = LoggerFactory.getLogger(MachineRenter.class);
    private static final int MAX_TRIES = 3;
    private static final long RETRY_MS = 1000;
    /** A pool that has been refused is not asked for again for this part of its boot time. */
    private static final double REFUSAL_BOOT_RATIO = 0.7;

    private final TermContext context;
    private final CloudClient cloud;
    private final Runnable refused;
    private final String requestPrefix;
    private final Map<NodePool, Long> refusedUntil = new HashMap<>();
    private final Set<NodePool> requested = new HashSet<>();
    private long lastRequest;

    /** @param refused is run when the cloud has given less than was asked for */
    MachineRenter(TermContext context, CloudClient cloud, Runnable refused) {
        this.context = context;
        this.cloud = cloud;
        this.refused = refused;
        // The term belongs to one controller and one of its incarnations, so the names are never used again.
        this.requestPrefix = context.deployment().node() + "-" + context.term() + "-";
    }

    /** Whether the cloud has lately given less of the pool than was asked for. */
    boolean wasRefused(NodePool pool) {
        return refusedUntil.getOrDefault(pool, 0L) > context.nowMs();
    }

    /** Rents machines of the pool, unless a request for it is still open. */
    void rent(NodePool pool, int count) {
        if (requested.add(pool)) {
            rentNext(pool, count);
        }
    }

    private void rentNext(NodePool pool, int count) {
        rent(requestPrefix + ++lastRequest, pool, count, MAX_TRIES);
    }

    private void rent(String request, NodePool pool, int count, int tries) {
        int batch = Math.min(count, CloudClient.MAX_MACHINES_PER_RENT);
        cloud.rent(
                request,
                pool.type(),
                pool.zone(),
                pool.spot(),
                batch,
                result -> context.timer().schedule(0, () -> {
                    if (result instanceof Rented rented) {
                        rented(pool, count, batch, rented.machines());
                    } else if (result instanceof NoCapacity) {
                        rented(pool, count, batch, List.of());
                    } else if (tries > 1) {
                        // Idempotent by the same name: if the first request did rent, this tells what.
                        context.timer().schedule(RETRY_MS, () -> rent(request, pool, count, tries - 1));
                    } else {
                        requested.remove(pool);
                    }
                }));
    }

    private void rented(NodePool pool, int count, int batch, List<String> machines) {
        long now = context.nowMs();
        LOG.info(
                "machines rented: count={} requested={} type={} zone={} spot={}",
                machines.size(),
                batch,
                pool.type(),
                pool.zone(),
                pool.spot());
        for (String name : machines) {
            context.cluster()
                    .machineOrAdd(
                            name,
                            n -> new Machine(n, pool, context.machineTypes().size(pool.type()), now));
        }
        if (machines.size() < batch) {
            double bootMs = context.machineTypes().bootMs(pool.type());
            refusedUntil.put(pool, now + (long) (bootMs * REFUSAL_BOOT_RATIO));
            requested.remove(pool);
            // What the cloud does not give is to be had elsewhere, and boots no sooner for waiting.
            refused.run();
        } else if (count > batch) {
            // All pools together stay within the rate that the cloud takes.
            long delayMs = (long) (Milliseconds.PER_SECOND
                    * requested.size()
                    / context.deployment().cloudRequestsPerS());
            context.timer().schedule(delayMs, () -> rentNext(pool, count - batch));
        } else {
            requested.remove(pool);
        }
    }
}

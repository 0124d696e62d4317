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

/** Scales out: rents machines from the cloud, with at most one open request for each pool. */
final class MachineRenter {
    private static final Logger LOG = LoggerFactory.getLogger(MachineRenter.class);
    private static final int MAX_ATTEMPTS = 3;
    private static final long RETRY_MS = 1000;
    /** After the cloud has refused machines of a pool, none are requested in it for this fraction of its boot time. */
    private static final double REFUSAL_BOOT_RATIO = 0.7;

    private final TermContext context;
    private final CloudClient cloud;
    private final Runnable onShortfall;
    private final String requestPrefix;
    private final Map<NodePool, Long> refusedUntilMs = new HashMap<>();
    private final Set<NodePool> poolsBeingRequested = new HashSet<>();
    private long lastRequestNumber;

    /** @param onShortfall is run when the cloud has rented out fewer machines than requested */
    MachineRenter(TermContext context, CloudClient cloud, Runnable onShortfall) {
        this.context = context;
        this.cloud = cloud;
        this.onShortfall = onShortfall;
        // A term belongs to one incarnation of one controller, so these request names are never reused.
        this.requestPrefix = context.deployment().node() + "-" + context.term() + "-";
    }

    /** Whether the cloud has recently rented out fewer machines of the pool than requested. */
    boolean wasRefused(NodePool pool) {
        return refusedUntilMs.getOrDefault(pool, 0L) > context.nowMs();
    }

    /** Rents machines of the pool, unless a request for it is still open. */
    void rent(NodePool pool, int count) {
        if (poolsBeingRequested.add(pool)) {
            requestBatch(pool, count);
        }
    }

    private void requestBatch(NodePool pool, int count) {
        rent(requestPrefix + ++lastRequestNumber, pool, count, MAX_ATTEMPTS);
    }

    private void rent(String request, NodePool pool, int count, int attemptsLeft) {
        int batch = Math.min(count, CloudClient.MAX_MACHINES_PER_RENT);
        cloud.rent(
                request,
                pool.type(),
                pool.zone(),
                pool.spot(),
                batch,
                result -> context.timer().schedule(0, () -> {
                    if (result instanceof Rented rented) {
                        handleRented(pool, count, batch, rented.machines());
                    } else if (result instanceof NoCapacity) {
                        handleRented(pool, count, batch, List.of());
                    } else if (attemptsLeft > 1) {
                        // The request name makes this idempotent: a retry returns the machines that the first attempt
                        // rented.
                        context.timer().schedule(RETRY_MS, () -> rent(request, pool, count, attemptsLeft - 1));
                    } else {
                        poolsBeingRequested.remove(pool);
                    }
                }));
    }

    private void handleRented(NodePool pool, int count, int batch, List<String> machines) {
        long nowMs = context.nowMs();
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
                            n -> new Machine(n, pool, context.machineTypes().size(pool.type()), nowMs));
        }
        if (machines.size() < batch) {
            double bootMs = context.machineTypes().bootMs(pool.type());
            refusedUntilMs.put(pool, nowMs + (long) (bootMs * REFUSAL_BOOT_RATIO));
            poolsBeingRequested.remove(pool);
            // The missing machines have to come from another pool, and waiting would only delay their boot.
            onShortfall.run();
        } else if (count > batch) {
            // Keeps the requests of all pools together within the cloud's rate limit.
            long delayMs = (long) (Milliseconds.PER_SECOND
                    * poolsBeingRequested.size()
                    / context.deployment().cloudRequestsPerS());
            context.timer().schedule(delayMs, () -> requestBatch(pool, count - batch));
        } else {
            poolsBeingRequested.remove(pool);
        }
    }
}

package notchpick.coordination.leading;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import notchpick.bookkeeping.ClusterState;
import notchpick.bookkeeping.FencedWriter;
import notchpick.bookkeeping.FencedWriter.Prepared;
import notchpick.bookkeeping.FencedWriter.Write;
import notchpick.bookkeeping.Machine;
import notchpick.bookkeeping.Machine.Life;
import notchpick.bookkeeping.Records;
import notchpick.coordination.Deployment;
import notchpick.protocol.CloudApi;
import notchpick.protocol.CloudApi.Listed;
import notchpick.scheduling.Amounts;
import notchpick.scheduling.Estimates;
import notchpick.scheduling.FleetPlan;
import notchpick.scheduling.FleetPlan.Need;
import notchpick.scheduling.FleetPlan.Owned;
import notchpick.scheduling.FleetPlan.Pool;
import notchpick.scheduling.MachineType;
import notchpick.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The leader's dealings with the cloud: what is rented, what is returned, what is listed. */
final class Fleet {
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);

    private static final int TRIES = 3;
    /** What surrounds the names of released machines takes no more than this. */
    private static final int RELEASED_FRAME_BYTES = 64;

    private final EventLoop loop;
    private final Deployment deployment;
    private final ClusterState cluster;
    private final CloudApi cloud;
    private final FencedWriter writer;
    private final String requestPrefix;
    private final Consumer<Machine> gone;
    private final Runnable refused;
    private final BiConsumer<Long, Runnable> timer;

    private final ProvisioningMonitor boots;
    private final Demand demand;
    private final Map<String, MachineType> types = new LinkedHashMap<>();
    private final Map<Pool, Long> refusedUntil = new HashMap<>();
    private final Set<Pool> asked = new HashSet<>();
    /** Released for good; a late report must not bring one back. */
    private final Set<String> released = new HashSet<>();

    private long lastRequest;
    private boolean releasing;
    private boolean listed;

    /**
     * @param gone hears of machines of which it is sure that nothing is on them any more
     * @param refused hears when the cloud has given less than was asked
     */
    Fleet(
            EventLoop loop,
            Deployment deployment,
            ClusterState cluster,
            Estimates estimates,
            CloudApi cloud,
            FencedWriter writer,
            long term,
            Consumer<Machine> gone,
            Runnable refused,
            BiConsumer<Long, Runnable> timer) {
        this.loop = loop;
        this.deployment = deployment;
        this.cluster = cluster;
        this.cloud = cloud;
        this.writer = writer;
        // The term belongs to one controller and one of its lives, so the names are never used again.
        this.requestPrefix = deployment.node() + "-" + term + "-";
        this.gone = gone;
        this.refused = refused;
        this.timer = timer;
        this.boots = new ProvisioningMonitor(cluster, this::bootMs, deployment.reportS() * 1000);
        this.demand = new Demand(loop, deployment, cluster, estimates, types, this::wasRefused);
    }

    void typesKnown(List<MachineType> known) {
        known.forEach(type -> types.put(type.name(), type));
    }

    /** What a machine of this type offers. */
    Amounts size(String type) {
        MachineType known = types.get(type);
        return known == null ? Amounts.NONE : known.size();
    }

    /** How fast a machine of this type fetches images; 0: not known. */
    double fetchGbPerS(String type) {
        MachineType known = types.get(type);
        return known == null ? 0 : known.fetchGbPerS();
    }

    /** How long an image of this size takes on the slowest type. */
    double fetchS(double imageGb) {
        double slowest = types.values().stream()
                .mapToDouble(MachineType::fetchGbPerS)
                .filter(rate -> rate > 0)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
        return imageGb / slowest;
    }

    private double bootMs(String type) {
        MachineType known = types.get(type);
        return known == null ? 60_000 : known.bootS() * 1000;
    }

    /** Whether machines come so late at present that none should be given away lightly. */
    boolean bootsAreLate() {
        return boots.areLate();
    }

    private boolean wasRefused(Pool pool) {
        return refusedUntil.getOrDefault(pool, 0L) > loop.now();
    }

    boolean wasReleased(String machine) {
        return released.contains(machine);
    }

    /** What a former leader may have asked the cloud to take back: not to be used again. */
    void load(List<String> names) {
        for (String name : names) {
            Machine machine = cluster.machines.computeIfAbsent(
                    name, n -> new Machine(n, new Pool("", "", false), Amounts.NONE, loop.now()));
            machine.life = Life.RELEASED;
            machine.releaseDurable = true;
        }
    }

    /**
     * One look at what is needed and what there is.
     *
     * @param awakeSince nobody's silence from before then counts
     */
    void review(long awakeSince) {
        long now = loop.now();
        if (!listed) {
            // What a former leader rented is not known yet; it must not be rented once more.
            return;
        }
        for (Machine machine : boots.review(now)) {
            LOG.info("machine {} never came up", machine.name);
            machine.life = Life.RELEASED;
        }
        List<Need> needs = demand.needs();
        List<Owned> owned = new ArrayList<>();
        for (Machine machine : cluster.machines.values()) {
            boolean isHere = machine.life == Life.UP
                    && machine.noticeS == null
                    // What is silent takes nothing new; what runs there is not rented for twice.
                    && (!machine.isIdle() || silentMs(machine, awakeSince, now) <= silentForLongMs());
            if (machine.life == Life.BOOTING || isHere) {
                owned.add(new Owned(machine.name, machine.pool, machine.size, machine.isIdle()));
            }
        }
        double bootS =
                types.values().stream().mapToDouble(MachineType::bootS).max().orElse(0);
        FleetPlan.Plan plan = FleetPlan.plan(needs, owned, types, 2 * bootS, this::wasRefused, boots::isLate);
        plan.rent().forEach((pool, count) -> {
            if (asked.add(pool)) {
                rent(pool, count);
            }
        });
        ZoneOutageDetector silence =
                new ZoneOutageDetector(cluster.machines.values(), now, awakeSince, silentForLongMs());
        boolean leaving = false;
        for (Machine machine : cluster.machines.values()) {
            retire(
                    machine,
                    plan.unneeded().contains(machine.name),
                    silentMs(machine, awakeSince, now),
                    silence.covers(machine.zone()),
                    now);
            leaving |= machine.life == Life.RELEASED && !machine.releaseDurable;
        }
        if (leaving) {
            writer.write(Records.RELEASED, this::saveReleased);
        }
        release();
    }

    private static long silentMs(Machine machine, long awakeSince, long now) {
        return now - Math.max(machine.reportedAt, awakeSince);
    }

    private double silentForLongMs() {
        return deployment.workerLeaseS() * 400;
    }

    /** Rents as many, one request after the other, each of as many as the cloud gives at once. */
    private void rent(Pool pool, int count) {
        rent(requestPrefix + ++lastRequest, pool, count, TRIES);
    }

    private void rent(String request, Pool pool, int count, int tries) {
        int number = Math.min(count, CloudApi.MAX_RENT);
        cloud.rent(
                request,
                pool.type(),
                pool.zone(),
                pool.spot(),
                number,
                result -> timer.accept(0L, () -> {
                    long now = loop.now();
                    if (result == null && tries > 1) {
                        // The same name again: if the first did rent, this tells what.
                        timer.accept(1000L, () -> rent(request, pool, count, tries - 1));
                        return;
                    }
                    if (result == null) {
                        asked.remove(pool);
                        return;
                    }
                    LOG.info(
                            "rented {} of {} {} in {}{}",
                            result.machines().size(),
                            number,
                            pool.type(),
                            pool.zone(),
                            pool.spot() ? " (spot)" : "");
                    for (String name : result.machines()) {
                        cluster.machines.computeIfAbsent(name, n -> new Machine(n, pool, size(pool.type()), now));
                    }
                    if (result.refused() || result.machines().size() < number) {
                        refusedUntil.put(pool, now + (long) (bootMs(pool.type()) * 0.7));
                        asked.remove(pool);
                        // What it does not give is to be had elsewhere, and boots no sooner for waiting.
                        refused.run();
                    } else if (count > number) {
                        // All pools together stay within what the cloud takes.
                        timer.accept(
                                (long) (1000 * asked.size() / deployment.cloudRps()), () -> rent(pool, count - number));
                    } else {
                        asked.remove(pool);
                    }
                }));
    }

    /** Moves a machine on towards its release where there is a reason to. */
    private void retire(Machine machine, boolean unneeded, long silentMs, boolean zoneIsSilent, long now) {
        switch (machine.life) {
            case BOOTING -> {}
            case UP -> {
                if (machine.isIdle() && unneeded && now - machine.idleSince > keepIdleMs(machine)) {
                    machine.life = Life.RELEASED;
                } else if (silentMs > (zoneIsSilent ? keepSilentMs(machine) : deployment.workerLeaseS() * 500)) {
                    LOG.info("machine {} is silent", machine.name);
                    machine.life = Life.RELEASED;
                }
            }
            case LEAVING -> {
                if (machine.isIdle() || silentMs > deployment.workerLeaseS() * 500) {
                    machine.life = Life.RELEASED;
                }
            }
            case RELEASED -> {}
        }
    }

    /**
     * Machines that fell silent with their zone are kept until keeping them has cost as much as others in their place
     * would: what runs on them may go on for their lease, and others would first have to boot.
     */
    private double keepSilentMs(Machine machine) {
        return deployment.workerLeaseS() * 1000 + boots.expectedMs(machine.type());
    }

    /** A cheap machine is kept for as long as another would now take to boot; an ordinary one hardly at all. */
    private double keepIdleMs(Machine machine) {
        return machine.spot() || boots.isLate(machine.pool)
                ? boots.expectedMs(machine.type())
                : 2000 * deployment.reportS();
    }

    /**
     * Names all whose release may have been asked, and of the others that shall go as many as one value takes. A
     * list that is too long already, by another version's limit, stays until enough are confirmed.
     */
    private Prepared saveReleased() {
        List<Machine> names = new ArrayList<>();
        int bytes = 0;
        boolean more = false;
        for (boolean durable : new boolean[] {true, false}) {
            for (Machine machine : cluster.machines.values()) {
                if (machine.life == Life.RELEASED && machine.releaseDurable == durable) {
                    int size = Records.releasedBytes(machine);
                    if (durable || bytes + size <= deployment.valueBytes() - RELEASED_FRAME_BYTES) {
                        names.add(machine);
                        bytes += size;
                        more |= !durable;
                    }
                }
            }
        }
        if (!more) {
            return null;
        }
        Write write = Write.put(Records.RELEASED, Records.released(names)).bytes(bytes + RELEASED_FRAME_BYTES);
        return new Prepared(
                List.of(write),
                () -> {
                    names.forEach(machine -> machine.releaseDurable = true);
                    release();
                },
                () -> {});
    }

    /** Asks for the release of what is marked as released durably; again until it is confirmed. */
    private void release() {
        if (releasing) {
            return;
        }
        List<String> names = new ArrayList<>();
        for (Machine machine : cluster.machines.values()) {
            if (machine.releaseDurable && names.size() < CloudApi.MAX_RELEASE) {
                names.add(machine.name);
            }
        }
        if (names.isEmpty()) {
            return;
        }
        releasing = true;
        cloud.release(
                names,
                confirmed -> timer.accept(0L, () -> {
                    releasing = false;
                    if (!confirmed) {
                        return;
                    }
                    LOG.info("released {}", names);
                    for (String name : names) {
                        Machine machine = cluster.machines.get(name);
                        released.add(name);
                        gone.accept(machine);
                        cluster.machines.remove(name);
                    }
                    release();
                }));
    }

    /** Reads the whole list; machines that nobody knew are taken on. */
    void list() {
        list(null);
    }

    private void list(String after) {
        cloud.list(
                after,
                page -> timer.accept(0L, () -> {
                    if (page == null) {
                        return;
                    }
                    page.machines().forEach(this::listed);
                    if (page.more() && !page.machines().isEmpty()) {
                        list(page.machines().get(page.machines().size() - 1).machine());
                    } else {
                        listed = true;
                    }
                }));
    }

    private void listed(Listed listed) {
        if (released.contains(listed.machine())) {
            return;
        }
        long now = loop.now();
        Machine machine = cluster.machines.computeIfAbsent(listed.machine(), name -> {
            Pool pool = new Pool(listed.type(), listed.zone(), listed.spot());
            Machine found = new Machine(name, pool, size(listed.type()), now);
            found.knownSince = now - (long) (listed.ageS() * 1000);
            return found;
        });
        if (listed.state() == CloudApi.ListedState.FAILED && machine.life != Life.RELEASED) {
            LOG.info("machine {} has failed", machine.name);
            machine.life = Life.RELEASED;
        }
    }
}

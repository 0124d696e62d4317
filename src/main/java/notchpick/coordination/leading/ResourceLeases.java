package notchpick.coordination.leading;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import notchpick.bookkeeping.ClusterState;
import notchpick.bookkeeping.Job;
import notchpick.bookkeeping.Machine;
import notchpick.bookkeeping.TaskAssignment;
import notchpick.coordination.Deployment;
import notchpick.coordination.Tuning;
import notchpick.coordination.membership.Peers;
import notchpick.protocol.peer.Grant;
import notchpick.protocol.peer.Placed;
import notchpick.protocol.peer.Placements;
import notchpick.protocol.peer.Room;
import notchpick.protocol.peer.Want;
import notchpick.scheduling.Amounts;
import notchpick.scheduling.JobSpec;
import notchpick.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Leases granted room to the controller that holds the team's jobs, and takes placements back. */
final class ResourceLeases {
    private static final Logger LOG = LoggerFactory.getLogger(ResourceLeases.class);
    /** Lease numbers carry the term above this many bits, so that they rise over all terms. */
    private static final int LEASE_BITS = 24;

    private static final BitSet NO_TASKS = new BitSet();

    private final EventLoop loop;
    private final Deployment deployment;
    private final Tuning tuning;
    private final ClusterState cluster;
    private final Peers peers;
    private final long term;
    private final Consumer<TaskAssignment> bound;
    private final Runnable changed;
    private final BiConsumer<Long, Runnable> timer;
    private final Map<Long, Leased> leases = new HashMap<>();
    private final Map<String, Long> distrustedUntil = new HashMap<>();
    private long lastLease;

    /** Room that is leased to the holder of a team's jobs. */
    static final class Leased {
        private final long number;
        private final String team;
        private final String holder;
        private final Map<Machine, Amounts> room = new LinkedHashMap<>();
        private final Map<Job, BitSet> tasks = new LinkedHashMap<>();

        private Leased(long number, String team, String holder) {
            this.number = number;
            this.team = team;
            this.holder = holder;
        }

        /** Leases room on the machine for a task. */
        void add(Machine machine, Job job, int task) {
            room.merge(machine, job.spec.demand(), Amounts::plus);
            tasks.computeIfAbsent(job, j -> new BitSet()).set(task);
        }

        private int size() {
            return tasks.values().stream().mapToInt(BitSet::cardinality).sum();
        }

        boolean holds(Job job) {
            return tasks.containsKey(job);
        }

        Collection<Machine> machines() {
            return room.keySet();
        }
    }

    /** @param bound hears of every task that has been placed; changed, that room is free again */
    ResourceLeases(
            EventLoop loop,
            Deployment deployment,
            Tuning tuning,
            ClusterState cluster,
            Peers peers,
            long term,
            Consumer<TaskAssignment> bound,
            Runnable changed,
            BiConsumer<Long, Runnable> timer) {
        this.loop = loop;
        this.deployment = deployment;
        this.tuning = tuning;
        this.cluster = cluster;
        this.peers = peers;
        this.term = term;
        this.bound = bound;
        this.changed = changed;
        this.timer = timer;
        this.lastLease = term << LEASE_BITS;
    }

    /** A lease that holds nothing yet. */
    Leased open(String team) {
        return new Leased(++lastLease, team, holder(team));
    }

    boolean isLeasedTo(String team) {
        return leases.values().stream().anyMatch(leased -> leased.team.equals(team));
    }

    /** Teams are parted among the live controllers in turn, beginning with the leader. */
    private String holder(String team) {
        List<String> nodes = new ArrayList<>();
        nodes.add(deployment.node());
        for (String node : peers.live()) {
            if (distrustedUntil.getOrDefault(node, 0L) <= loop.now()) {
                nodes.add(node);
            }
        }
        List<String> teams =
                deployment.teams().stream().map(Deployment.Limit::team).sorted().toList();
        return nodes.get(Math.floorMod(teams.indexOf(team), nodes.size()));
    }

    /** Leases what was granted, if anything was. */
    void lease(Leased leased) {
        if (leased.tasks.isEmpty()) {
            return;
        }
        leases.put(leased.number, leased);
        Grant grant = grant(leased);
        timer.accept(tuning.roomLeaseMs(), () -> lapse(leased));
        if (leased.holder.equals(deployment.node())) {
            returned(Placer.place(grant, leased.holder));
            return;
        }
        peers.ask(leased.holder, grant, tuning.roomLeaseMs(), reply -> {
            if (reply instanceof Placements placements) {
                timer.accept(0L, () -> returned(placements));
            }
        });
    }

    private Grant grant(Leased leased) {
        Set<String> images = new HashSet<>();
        leased.tasks.keySet().forEach(job -> images.add(job.spec.image()));
        List<Room> rooms = new ArrayList<>();
        leased.room.forEach((machine, room) -> rooms.add(new Room(
                machine.name,
                machine.type(),
                machine.zone(),
                machine.spot(),
                room.cores(),
                room.gpus(),
                room.ram(),
                images.stream().filter(machine.images::contains).toList())));
        List<Want> wants = new ArrayList<>();
        leased.tasks.forEach((job, tasks) -> {
            JobSpec spec = job.spec;
            Map<String, Integer> zoneRoom = new HashMap<>();
            if (spec.spread()) {
                Map<String, Integer> taken = cluster.zonesOf(spec.id());
                deployment.zones().forEach(zone -> zoneRoom.put(zone, spec.zoneLimit() - taken.getOrDefault(zone, 0)));
            }
            String zone =
                    spec.oneZone() ? leased.room.keySet().iterator().next().zone() : spec.zone();
            wants.add(new Want(
                    spec.id(),
                    spec.demand().cores(),
                    spec.demand().gpus(),
                    spec.demand().ram(),
                    spec.image(),
                    spec.types(),
                    zone,
                    spec.spot(),
                    zoneRoom,
                    tasks.stream().boxed().toList()));
        });
        return new Grant(term, leased.number, leased.team, tuning.roomLeaseMs(), rooms, wants);
    }

    /** The holder did not answer in time: its lease is over, and others hold its teams for a while. */
    private void lapse(Leased leased) {
        if (leases.containsKey(leased.number)) {
            LOG.info("room lease {} of {} lapsed at {}", leased.number, leased.team, leased.holder);
            distrustedUntil.put(leased.holder, loop.now() + (long) (deployment.reportS() * 2000));
            giveBack(leased);
            changed.run();
        }
    }

    private void giveBack(Leased leased) {
        leases.remove(leased.number);
        leased.room.forEach(Machine::unlease);
        leased.tasks.forEach((job, tasks) -> tasks.stream().forEach(task -> {
            job.leased.clear(task);
            if (!job.done.get(task) && !job.bound.containsKey(task)) {
                job.pending.set(task);
            }
        }));
    }

    /** Takes what a holder placed, as far as its lease is current and covers it. */
    void returned(Placements placements) {
        Leased leased = leases.get(placements.getLease());
        if (leased == null || placements.getTerm() != term || !leased.holder.equals(placements.getNode())) {
            LOG.info("placements of {} under lease {} are not entitled", placements.getNode(), placements.getLease());
            return;
        }
        giveBack(leased);
        Map<Machine, Amounts> left = new HashMap<>(leased.room);
        long now = loop.now();
        int accepted = 0;
        for (Placed placed : placements.getPlaced()) {
            Job job = cluster.jobs.get(placed.getJob());
            Machine machine = cluster.machines.get(placed.getMachine());
            int task = placed.getTask();
            if (job == null
                    || machine == null
                    || !left.containsKey(machine)
                    || !leased.tasks.getOrDefault(job, NO_TASKS).get(task)
                    || !job.pending.get(task)
                    || !job.spec.demand().fitsIn(left.get(machine))
                    || !admissible(job, machine, now)) {
                continue;
            }
            left.merge(machine, job.spec.demand(), Amounts::minus);
            bound.accept(cluster.bind(job.spec, task, machine, leased.number, TaskAssignment.Phase.PLANNED));
            accepted++;
        }
        if (accepted < placements.getPlaced().size()) {
            LOG.info(
                    "{} of {} placements refused",
                    placements.getPlaced().size() - accepted,
                    placements.getPlaced().size());
        }
        // A team whose room is leased elsewhere takes no part in rounds; and what was not placed is free again.
        if (!leased.holder.equals(deployment.node()) || accepted < leased.size()) {
            changed.run();
        }
    }

    /** All that the rules ask of a start, at the moment of the decision. */
    private boolean admissible(Job job, Machine machine, long now) {
        Deployment.Limit limit = deployment.limit(job.spec.team());
        return !job.held
                && machine.isUsable(now, deployment.reportS() * 1000)
                && job.spec.demand().fitsIn(machine.room())
                && job.spec.allows(machine.type(), machine.zone(), machine.spot())
                && (!job.spec.isConstrained()
                        || job.spec.allowsAmongFellows(machine.zone(), cluster.zonesOf(job.spec.id())))
                && limit != null
                && limit.allows(cluster.use(job.spec.team()).plus(job.spec.demand()));
    }

    int outstanding() {
        return leases.size();
    }
}

package notchpick.coordination;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import notchpick.bookkeeping.Binding;
import notchpick.bookkeeping.Job;
import notchpick.bookkeeping.Machine;
import notchpick.bookkeeping.Roster;
import notchpick.protocol.peer.Grant;
import notchpick.protocol.peer.Placed;
import notchpick.protocol.peer.Placements;
import notchpick.protocol.peer.Room;
import notchpick.protocol.peer.Want;
import notchpick.scheduling.Amounts;
import notchpick.scheduling.Estimates;
import notchpick.scheduling.JobOrder;
import notchpick.scheduling.JobOrder.Waiting;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.Preemption;
import notchpick.scheduling.Preemption.Starved;
import notchpick.scheduling.Preemption.Victim;
import notchpick.scheduling.Sdrf;
import notchpick.scheduling.SiteIndex;
import notchpick.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's side of sharing: ranks the teams, grants room to the lowest while its next task fits,
 * leases the room to the controller that holds the team's jobs, and takes placements back.
 */
final class Granting {
    private static final Logger LOG = LoggerFactory.getLogger(Granting.class);
    /** Lease numbers carry the term above this many bits, so that they rise over all terms. */
    private static final int LEASE_BITS = 24;

    /** So many report periods a job stays away from a machine on which a task of it failed. */
    private static final int SHUN_REPORTS = 20;
    /** How often tasks may be told to give way, in report periods. */
    private static final double MAKE_ROOM_RATIO = 0.2;
    /** Whose next task is of an earlier group goes first; the paper's ranking decides within each. */
    private static final int GUARANTEED = 0;
    private static final int URGENT = 1;
    private static final int PROMISED = 2;
    private static final int OTHERS = 3;
    private static final BitSet NO_TASKS = new BitSet();

    private final EventLoop loop;
    private final Deployment deployment;
    private final Tuning tuning;
    private final Roster roster;
    private final Estimates estimates;
    private final Peers peers;
    private final long term;
    private final ToDoubleFunction<String> fetchGbPerS;
    private final Consumer<Binding> bound;
    private final Runnable changed;
    private final BiConsumer<Long, Runnable> timer;

    private final Map<String, Amounts> commitments = new HashMap<>();
    private final Map<String, Amounts> overuse = new HashMap<>();
    private final Map<Long, Leased> leases = new HashMap<>();
    private final Map<String, Long> distrustedUntil = new HashMap<>();
    private long updatedAt;
    private long lastLease;
    private long roomMadeAt;

    /** Room that is leased to the holder of a team's jobs. */
    private static final class Leased {
        private final long number;
        private final String team;
        private final String holder;
        private final Map<Machine, Amounts> room = new LinkedHashMap<>();
        private final Map<Job, BitSet> tasks = new LinkedHashMap<>();

        Leased(long number, String team, String holder) {
            this.number = number;
            this.team = team;
            this.holder = holder;
        }
    }

    /** @param bound hears of every task that has been placed; changed, that room is free again */
    Granting(EventLoop loop, Deployment deployment, Tuning tuning, Roster roster, Estimates estimates, Peers peers,
            long term, ToDoubleFunction<String> fetchGbPerS, Consumer<Binding> bound, Runnable changed,
            BiConsumer<Long, Runnable> timer) {
        this.loop = loop;
        this.deployment = deployment;
        this.tuning = tuning;
        this.roster = roster;
        this.estimates = estimates;
        this.peers = peers;
        this.term = term;
        this.fetchGbPerS = fetchGbPerS;
        this.bound = bound;
        this.changed = changed;
        this.timer = timer;
        this.lastLease = term << LEASE_BITS;
        this.updatedAt = loop.now();
    }

    Map<String, Amounts> commitments() {
        return commitments;
    }

    /** Equation 12 over the time since the last update, in which nothing changed. */
    private void updateCommitments(Set<String> present, Amounts total) {
        long now = loop.now();
        double elapsedS = (now - updatedAt) / 1000.0;
        updatedAt = now;
        Set<String> teams = new HashSet<>(commitments.keySet());
        teams.addAll(present);
        for (String team : teams) {
            Amounts before = commitments.getOrDefault(team, Amounts.NONE);
            Amounts over = overuse.getOrDefault(team, Amounts.NONE);
            commitments.put(team, Sdrf.commitment(before, over, elapsedS, tuning.tauS()));
            overuse.put(team, Sdrf.overuse(Sdrf.share(roster.use(team), total), present.size()));
        }
    }

    /** Jobs of the same shape find the same machine, unless their tasks have failed on some. */
    private record Shape(Amounts demand, List<String> types, String zone, boolean spot, boolean ordinary,
            boolean urgent, String image) {
        static Shape of(Job job) {
            JobSpec spec = job.spec;
            return constrained(spec) || job.hasFailed ? null : new Shape(spec.demand(), spec.types(), spec.zone(),
                    spec.spot(), job.mayUseOrdinary(), spec.isUrgent(), spec.image());
        }
    }

    /** One team's part in a round. */
    private final class Turn {
        private final String team;
        private final List<Job> jobs;
        private final Leased leased;
        private final Map<Job, Shape> shapes = new HashMap<>();
        /** Shapes that found no room; there won't be more of it during this round. */
        private final Set<Shape> missed = new HashSet<>();
        /** Jobs that found no room. */
        private final List<Job> skipped = new ArrayList<>();
        private Amounts held;

        Turn(String team, List<Job> jobs, Leased leased) {
            this.team = team;
            this.jobs = jobs;
            this.leased = leased;
            this.held = roster.use(team);
            Map<Shape, Shape> known = new HashMap<>();
            for (Job job : jobs) {
                Shape shape = Shape.of(job);
                if (shape != null) {
                    shapes.put(job, known.computeIfAbsent(shape, same -> same));
                }
            }
        }

        private double rank(Amounts total) {
            return Sdrf.rank(Sdrf.share(held, total), commitments.getOrDefault(team, Amounts.NONE));
        }

        /**
         * Ours: a team that stays within its guarantee does not wait for others; urgent work does not wait for
         * what would be stopped for it: the room would go back to the lower team, and be asked for again; and
         * what was promised to its users, and can still be kept, does not wait for work that was not.
         */
        private int group() {
            if (jobs.isEmpty()) {
                return OTHERS;
            }
            JobSpec next = jobs.get(0).spec;
            Deployment.Limit limit = deployment.limit(team);
            return limit != null && limit.guarantees(held.plus(next.demand())) ? GUARANTEED
                    : next.isUrgent() ? URGENT : canBeKept(next) ? PROMISED : OTHERS;
        }
    }

    /** Algorithm 1, with our additions: see docs/design.md. */
    void round() {
        Amounts total = roster.total();
        Map<String, List<Job>> waiting = new HashMap<>();
        Set<String> present = new HashSet<>();
        long now = loop.now();
        for (Job job : roster.jobs.values()) {
            present.add(job.spec.team());
            if (job.waits() && job.notBefore <= now) {
                waiting.computeIfAbsent(job.spec.team(), team -> new ArrayList<>()).add(job);
            }
        }
        updateCommitments(present, total);
        leases.values().forEach(leased -> waiting.remove(leased.team));
        if (waiting.isEmpty()) {
            return;
        }
        List<Machine> usable = new ArrayList<>();
        for (Machine machine : roster.machines.values()) {
            if (machine.room().cores() > Amounts.SLACK && usable(machine, now)) {
                usable.add(machine);
            }
        }
        SiteIndex<Machine> open = new SiteIndex<>(usable);
        List<Turn> active = new ArrayList<>();
        waiting.forEach((team, jobs) -> {
            List<Waiting<Job>> order = new ArrayList<>();
            for (Job job : jobs) {
                double runS = estimates.runS(job.spec);
                order.add(new Waiting<>(job, job.spec, job.unfinished() * runS * job.spec.demand().cores(), runS));
            }
            List<Job> sorted = new ArrayList<>();
            JobOrder.sorted(order, loop.wallTime(), deployment.objectives(), coresOf(team, total, present.size()))
                    .forEach(w -> sorted.add(w.job()));
            active.add(new Turn(team, sorted, new Leased(++lastLease, team, holder(team))));
        });
        List<Turn> turns = List.copyOf(active);
        Map<Machine, Turn> barred = new HashMap<>();
        while (!active.isEmpty()) {
            Turn turn = active.stream()
                    .min(Comparator.<Turn>comparingInt(Turn::group).thenComparingDouble(t -> t.rank(total))
                            .thenComparing(t -> t.team))
                    .orElseThrow();
            if (!grantOne(turn, open, barred, now)) {
                active.remove(turn);
            }
        }
        turns.forEach(turn -> lease(turn.leased));
        // It looks at every task that runs, and who waits has waited for a report period anyway.
        if (now - roomMadeAt >= deployment.reportS() * 1000 * MAKE_ROOM_RATIO) {
            roomMadeAt = now;
            makeRoom(turns, now);
        }
    }

    private boolean canBeKept(JobSpec spec) {
        double ageS = (loop.wallTime() - spec.submittedAt()) / 1000.0;
        return deployment.objectives().canBeKept(spec, ageS, estimates.runS(spec));
    }

    /** What a team can count on, about: its guarantee, an equal part, or what it has now. */
    private double coresOf(String team, Amounts total, int teams) {
        Deployment.Limit limit = deployment.limit(team);
        double cores = Math.max(total.cores() / Math.max(1, teams), roster.use(team).cores());
        if (limit == null) {
            return cores;
        }
        cores = Math.max(cores, limit.guarantee().cores());
        return limit.most().cores() > 0 ? Math.min(cores, limit.most().cores()) : cores;
    }

    /** Has tasks saved and stopped that keep guaranteed or urgent work waiting. */
    private void makeRoom(List<Turn> turns, long now) {
        List<Starved> starved = new ArrayList<>();
        for (Turn turn : turns) {
            Deployment.Limit limit = deployment.limit(turn.team);
            Amounts held = turn.held;
            for (Job job : turn.skipped) {
                int owed = 0;
                while (owed < job.startable()
                        && limit.guarantees(held.plus(job.spec.demand().times(owed + 1)))) {
                    owed++;
                }
                held = held.plus(job.spec.demand().times(owed));
                boolean urgent = job.spec.isUrgent();
                // Much room falls free by itself within a report period.
                boolean waited = now - job.skippedSince >= deployment.reportS() * 1000;
                if (waited && (owed > 0 || urgent)) {
                    starved.add(new Starved(job.spec, urgent ? job.startable() : owed, owed > 0));
                }
            }
        }
        if (starved.isEmpty()) {
            return;
        }
        double freeing = 0;
        List<Victim<Binding>> victims = new ArrayList<>();
        for (Machine machine : roster.machines.values()) {
            for (Binding binding : machine.bindings.values()) {
                if (binding.stopGraceS != null) {
                    freeing += binding.spec.demand().cores();
                } else if (binding.mayBeMoved(now) && usable(machine, now)) {
                    victims.add(new Victim<>(binding, binding.spec, machine.type(), machine.zone(), machine.spot()));
                }
            }
        }
        for (Binding binding : Preemption.choose(starved, victims, freeing, this::beyondGuarantee)) {
            LOG.info("task {} gives way", binding.taskName());
            binding.stopGraceS = Math.ceil(binding.spec.saveS());
        }
    }

    private double beyondGuarantee(String team) {
        Deployment.Limit limit = deployment.limit(team);
        return roster.use(team).cores() - (limit == null ? 0 : limit.guarantee().cores());
    }

    boolean usable(Machine machine, long now) {
        return machine.life == Machine.Life.UP && machine.settled && machine.noticeS == null
                && machine.quarantinedUntil <= now
                // A machine that has missed reports may be gone; what is started there would only wait.
                && now - machine.reportedAt < deployment.reportS() * 1000 * 2;
    }

    /** Grants room to the team's next task that fits; false if none does. */
    private boolean grantOne(Turn turn, SiteIndex<Machine> open, Map<Machine, Turn> barred, long now) {
        Deployment.Limit limit = deployment.limit(turn.team);
        Job head = null;
        Machine headMachine = null;
        Map<Shape, Machine> chosen = new IdentityHashMap<>();
        for (int i = 0; i < turn.jobs.size();) {
            Job job = turn.jobs.get(i);
            if (!job.waits() || limit != null && !limit.allows(turn.held.plus(job.spec.demand()))) {
                turn.jobs.remove(i);
                continue;
            }
            if (head != null && job.spec.priority() != head.spec.priority()) {
                break;
            }
            Shape shape = turn.shapes.get(job);
            Machine machine = shape == null ? null : chosen.get(shape);
            if (machine == null && !turn.missed.contains(shape)) {
                machine = choose(job, turn, open, barred, now);
                if (machine != null && shape != null) {
                    chosen.put(shape, machine);
                }
            }
            if (machine == null) {
                if (shape != null) {
                    turn.missed.add(shape);
                }
                turn.skipped.add(job);
                if (skip(job, turn, open, barred, now)) {
                    chosen.clear();
                }
                turn.jobs.remove(i);
                continue;
            }
            if (machine.images.contains(job.spec.image())) {
                if (head != null && head.deferredSince == 0) {
                    head.deferredSince = now;
                }
                grant(turn, job, machine, open);
                return true;
            }
            if (head == null) {
                head = job;
                headMachine = machine;
                if (turn.group() == GUARANTEED || !mayDefer(job, machine, now)) {
                    break;
                }
            }
            i++;
        }
        if (head == null) {
            return false;
        }
        grant(turn, head, headMachine, open);
        return true;
    }

    /**
     * Whether others of its priority, whose image is there already, may take the room first: for as
     * long as two fetches of its own image would take. Room never stays empty for that.
     */
    private boolean mayDefer(Job job, Machine machine, long now) {
        double fetchMs = 1000 * job.spec.imageGb() / Math.max(fetchGbPerS.applyAsDouble(machine.type()), 0.01);
        return !job.spec.isUrgent() && (job.deferredSince == 0 || now - job.deferredSince < 2 * fetchMs);
    }

    private Machine choose(Job job, Turn turn, SiteIndex<Machine> open, Map<Machine, Turn> barred, long now) {
        // Not for ever: where machines are few, the only one that fits may have failed it once.
        long shunMs = (long) (deployment.reportS() * 1000 * SHUN_REPORTS);
        Map<String, Integer> zones = constrained(job.spec) ? zonesOf(job, turn.leased) : Map.of();
        Predicate<Machine> admits = m -> zoneAllows(job.spec, zones, m.zone())
                && (m.spot() || job.mayUseOrdinary())
                && now - m.failedJobs.getOrDefault(job.spec.id(), now - shunMs) >= shunMs
                && (barred.get(m) == null || barred.get(m) == turn);
        return job.spec.isUrgent() ? open.chooseSoonest(job.spec, admits, m -> answerInMs(m, now))
                : open.choose(job.spec, admits);
    }

    /** Orders ride in the answers to reports: when the next can be given on this machine. */
    private long answerInMs(Machine machine, long now) {
        return machine.awaitsAnswer ? 0
                : Math.max(1, machine.reportedAt + (long) (deployment.reportS() * 1000) - now);
    }

    private void grant(Turn turn, Job job, Machine machine, SiteIndex<Machine> open) {
        Amounts demand = job.spec.demand();
        job.skippedSince = 0;
        if (!machine.images.contains(job.spec.image())) {
            job.deferredSince = 0;
        }
        open.change(machine, () -> {
            // It will be fetched for this task, and serves those that follow.
            machine.images.add(job.spec.image());
            machine.lease(demand);
        });
        int task = job.pending.nextSetBit(0);
        job.pending.clear(task);
        job.leased.set(task);
        turn.leased.room.merge(machine, demand, Amounts::plus);
        turn.leased.tasks.computeIfAbsent(job, j -> new BitSet()).set(task);
        turn.held = turn.held.plus(demand);
    }

    /**
     * The barring wait: who has been skipped for long keeps others from the room nearest to enough.
     * True if that took room away from others.
     */
    private boolean skip(Job job, Turn turn, SiteIndex<Machine> open, Map<Machine, Turn> barred, long now) {
        if (job.skippedSince == 0) {
            job.skippedSince = now;
            return false;
        }
        if (now - job.skippedSince < tuning.barringS() * 1000 || barred.containsValue(turn)) {
            return false;
        }
        Machine nearest = open.sites().stream()
                .filter(m -> barred.get(m) == null && job.spec.demand().fitsIn(m.size)
                        && job.spec.allows(m.type(), m.zone(), m.spot()))
                .max(Comparator.comparingDouble(m -> m.room().cores()))
                .orElse(null);
        if (nearest == null) {
            return false;
        }
        barred.put(nearest, turn);
        // Within the team too: what comes after this job must leave that room alone.
        open.remove(nearest);
        return true;
    }

    private static boolean constrained(JobSpec spec) {
        return spec.oneZone() || spec.spread();
    }

    private Map<String, Integer> zonesOf(Job job, Leased leased) {
        Map<String, Integer> zones = roster.zonesOf(job.spec.id());
        if (leased != null && leased.tasks.containsKey(job)) {
            // While a round runs, where its tasks will go is not settled: count the room as taken.
            leased.room.keySet().forEach(machine -> zones.merge(machine.zone(), 1, Integer::sum));
        }
        return zones;
    }

    private static boolean zoneAllows(JobSpec spec, Map<String, Integer> zones, String zone) {
        if (spec.oneZone() && !zones.isEmpty() && !zones.containsKey(zone)) {
            return false;
        }
        return !spec.spread() || zones.getOrDefault(zone, 0) < spec.zoneLimit();
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
        List<String> teams = deployment.teams().stream().map(Deployment.Limit::team).sorted().toList();
        return nodes.get(Math.floorMod(teams.indexOf(team), nodes.size()));
    }

    private void lease(Leased leased) {
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
        leased.room.forEach((machine, room) -> rooms.add(new Room(machine.name, machine.type(), machine.zone(),
                machine.spot(), room.cores(), room.gpus(), room.ram(),
                images.stream().filter(machine.images::contains).toList())));
        List<Want> wants = new ArrayList<>();
        leased.tasks.forEach((job, tasks) -> {
            JobSpec spec = job.spec;
            Map<String, Integer> zoneRoom = new HashMap<>();
            if (spec.spread()) {
                Map<String, Integer> taken = roster.zonesOf(spec.id());
                deployment.zones().forEach(
                        zone -> zoneRoom.put(zone, spec.zoneLimit() - taken.getOrDefault(zone, 0)));
            }
            String zone = spec.oneZone() ? leased.room.keySet().iterator().next().zone() : spec.zone();
            wants.add(new Want(spec.id(), spec.demand().cores(), spec.demand().gpus(), spec.demand().ram(),
                    spec.image(), spec.types(), zone, spec.spot(), zoneRoom,
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
            Job job = roster.jobs.get(placed.getJob());
            Machine machine = roster.machines.get(placed.getMachine());
            int task = placed.getTask();
            if (job == null || machine == null || !left.containsKey(machine)
                    || !leased.tasks.getOrDefault(job, NO_TASKS).get(task)
                    || !job.pending.get(task)
                    || !job.spec.demand().fitsIn(left.get(machine))
                    || !admissible(job, machine, now)) {
                continue;
            }
            left.merge(machine, job.spec.demand(), Amounts::minus);
            bound.accept(roster.bind(job.spec, task, machine, leased.number, Binding.Phase.PLANNED));
            accepted++;
        }
        if (accepted < placements.getPlaced().size()) {
            LOG.info("{} of {} placements refused", placements.getPlaced().size() - accepted,
                    placements.getPlaced().size());
        }
        changed.run();
    }

    /** All that the rules ask of a start, at the moment of the decision. */
    private boolean admissible(Job job, Machine machine, long now) {
        Deployment.Limit limit = deployment.limit(job.spec.team());
        return usable(machine, now)
                && job.spec.demand().fitsIn(machine.room())
                && job.spec.allows(machine.type(), machine.zone(), machine.spot())
                && (!constrained(job.spec)
                        || zoneAllows(job.spec, roster.zonesOf(job.spec.id()), machine.zone()))
                && limit != null
                && limit.allows(roster.use(job.spec.team()).plus(job.spec.demand()));
    }

    int outstanding() {
        return leases.size();
    }
}

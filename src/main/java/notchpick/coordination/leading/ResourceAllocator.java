package notchpick.coordination.leading;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import notchpick.bookkeeping.ClusterState;
import notchpick.bookkeeping.Job;
import notchpick.bookkeeping.Machine;
import notchpick.bookkeeping.TaskAssignment;
import notchpick.coordination.Deployment;
import notchpick.coordination.Tuning;
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

/** Shares room: ranks the teams, and grants room to the lowest while its next task fits. */
final class ResourceAllocator {
    private static final Logger LOG = LoggerFactory.getLogger(ResourceAllocator.class);
    /** So many report periods a job stays away from a machine on which a task of it failed. */
    private static final int SHUN_REPORTS = 20;
    /** How often tasks may be told to give way, in report periods. */
    private static final double MAKE_ROOM_RATIO = 0.2;
    /** Whose next task is of an earlier group goes first; the paper's ranking decides within each. */
    private static final int GUARANTEED = 0;

    private static final int URGENT = 1;
    private static final int PROMISED = 2;
    private static final int OTHERS = 3;

    private final EventLoop loop;
    private final Deployment deployment;
    private final Tuning tuning;
    private final ClusterState cluster;
    private final Estimates estimates;
    private final ResourceLeases leases;
    private final ToDoubleFunction<String> fetchGbPerS;

    private final Map<String, Amounts> commitments = new HashMap<>();
    private final Map<String, Amounts> overuse = new HashMap<>();
    private long updatedAt;
    private long roomMadeAt;

    ResourceAllocator(
            EventLoop loop,
            Deployment deployment,
            Tuning tuning,
            ClusterState cluster,
            Estimates estimates,
            ResourceLeases leases,
            ToDoubleFunction<String> fetchGbPerS) {
        this.loop = loop;
        this.deployment = deployment;
        this.tuning = tuning;
        this.cluster = cluster;
        this.estimates = estimates;
        this.leases = leases;
        this.fetchGbPerS = fetchGbPerS;
        this.updatedAt = loop.now();
    }

    Map<String, Amounts> commitments() {
        return commitments;
    }

    private double reportMs() {
        return deployment.reportS() * 1000;
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
            overuse.put(team, Sdrf.overuse(Sdrf.share(cluster.use(team), total), present.size()));
        }
    }

    /** Jobs of the same shape find the same machine, unless their tasks have failed on some. */
    private record Shape(
            Amounts demand,
            List<String> types,
            String zone,
            boolean spot,
            boolean ordinary,
            boolean urgent,
            String image) {
        static Shape of(Job job) {
            JobSpec spec = job.spec;
            return spec.isConstrained() || job.hasFailed
                    ? null
                    : new Shape(
                            spec.demand(),
                            spec.types(),
                            spec.zone(),
                            spec.spot(),
                            job.mayUseOrdinary(),
                            spec.isUrgent(),
                            spec.image());
        }
    }

    /** One team's part in a round. */
    private final class Turn {
        private final String team;
        private final List<Job> jobs;
        private final ResourceLeases.Leased leased;
        private final Map<Job, Shape> shapes = new HashMap<>();
        /** Shapes that found no room; there won't be more of it during this round. */
        private final Set<Shape> missed = new HashSet<>();
        /** Jobs that found no room. */
        private final List<Job> skipped = new ArrayList<>();

        private Amounts held;

        Turn(String team, List<Job> jobs, ResourceLeases.Leased leased) {
            this.team = team;
            this.jobs = jobs;
            this.leased = leased;
            this.held = cluster.use(team);
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
            return limit != null && limit.guarantees(held.plus(next.demand()))
                    ? GUARANTEED
                    : next.isUrgent() ? URGENT : canBeKept(next) ? PROMISED : OTHERS;
        }
    }

    /** Algorithm 1, with our additions: see docs/design.md. */
    void round() {
        Amounts total = cluster.total();
        Map<String, List<Job>> waiting = new HashMap<>();
        Set<String> present = new HashSet<>();
        long now = loop.now();
        for (Job job : cluster.jobs.values()) {
            if (job.held) {
                continue;
            }
            present.add(job.spec.team());
            if (job.waits() && job.notBefore <= now) {
                waiting.computeIfAbsent(job.spec.team(), team -> new ArrayList<>())
                        .add(job);
            }
        }
        updateCommitments(present, total);
        waiting.keySet().removeIf(leases::isLeasedTo);
        if (waiting.isEmpty()) {
            return;
        }
        List<Machine> usable = new ArrayList<>();
        for (Machine machine : cluster.machines.values()) {
            if (machine.room().cores() > Amounts.SLACK && machine.isUsable(now, reportMs())) {
                usable.add(machine);
            }
        }
        boolean looksForRoom = now - roomMadeAt >= reportMs() * MAKE_ROOM_RATIO;
        if (usable.isEmpty() && !looksForRoom) {
            return;
        }
        SiteIndex<Machine> open = new SiteIndex<>(usable);
        List<Turn> active = new ArrayList<>();
        waiting.forEach((team, jobs) -> {
            List<Waiting<Job>> order = new ArrayList<>();
            for (Job job : jobs) {
                double runS = estimates.runS(job.spec);
                order.add(new Waiting<>(
                        job,
                        job.spec,
                        job.unfinished() * runS * job.spec.demand().cores(),
                        runS));
            }
            List<Job> sorted = new ArrayList<>();
            JobOrder.sorted(order, loop.wallTime(), deployment.objectives(), coresOf(team, total, present.size()))
                    .forEach(w -> sorted.add(w.job()));
            active.add(new Turn(team, sorted, leases.open(team)));
        });
        List<Turn> turns = List.copyOf(active);
        Map<Machine, Turn> barred = new HashMap<>();
        while (!active.isEmpty()) {
            Turn turn = active.stream()
                    .min(Comparator.<Turn>comparingInt(Turn::group)
                            .thenComparingDouble(t -> t.rank(total))
                            .thenComparing(t -> t.team))
                    .orElseThrow();
            if (!grantOne(turn, open, barred, now)) {
                active.remove(turn);
            }
        }
        turns.forEach(turn -> leases.lease(turn.leased));
        // It looks at every task that runs, and who waits has waited for a report period anyway.
        if (looksForRoom) {
            roomMadeAt = now;
            makeRoom(turns, now);
        }
    }

    private boolean canBeKept(JobSpec spec) {
        return deployment.objectives().canBeKept(spec, spec.ageS(loop.wallTime()), estimates.runS(spec));
    }

    /** What a team can count on, about: its guarantee, an equal part, or what it has now. */
    private double coresOf(String team, Amounts total, int teams) {
        Deployment.Limit limit = deployment.limit(team);
        double cores =
                Math.max(total.cores() / Math.max(1, teams), cluster.use(team).cores());
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
                boolean waited = now - job.skippedSince >= reportMs();
                if (waited && (owed > 0 || urgent)) {
                    starved.add(new Starved(job.spec, urgent ? job.startable() : owed, owed > 0));
                }
            }
        }
        if (starved.isEmpty()) {
            return;
        }
        double freeing = 0;
        List<Victim<TaskAssignment>> victims = new ArrayList<>();
        for (Machine machine : cluster.machines.values()) {
            for (TaskAssignment binding : machine.bindings.values()) {
                if (binding.stopGraceS != null) {
                    freeing += binding.spec.demand().cores();
                } else if (binding.mayBeMoved(now) && machine.isUsable(now, reportMs())) {
                    victims.add(new Victim<>(binding, binding.spec, machine.type(), machine.zone(), machine.spot()));
                }
            }
        }
        for (TaskAssignment binding : Preemption.choose(starved, victims, freeing, this::beyondGuarantee)) {
            LOG.info("task {} gives way", binding.taskName());
            binding.stopGraceS = Math.ceil(binding.spec.saveS());
        }
    }

    private double beyondGuarantee(String team) {
        Deployment.Limit limit = deployment.limit(team);
        return cluster.use(team).cores()
                - (limit == null ? 0 : limit.guarantee().cores());
    }

    /** Grants room to the team's next task that fits; false if none does. */
    private boolean grantOne(Turn turn, SiteIndex<Machine> open, Map<Machine, Turn> barred, long now) {
        Deployment.Limit limit = deployment.limit(turn.team);
        Job head = null;
        Machine headMachine = null;
        Map<Shape, Machine> chosen = new IdentityHashMap<>();
        for (int i = 0; i < turn.jobs.size(); ) {
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
        long shunMs = (long) (reportMs() * SHUN_REPORTS);
        Map<String, Integer> zones = job.spec.isConstrained() ? zonesOf(job, turn.leased) : Map.of();
        Predicate<Machine> admits = m -> job.spec.allowsAmongFellows(m.zone(), zones)
                && (m.spot() || job.mayUseOrdinary())
                && now - m.failedJobs.getOrDefault(job.spec.id(), now - shunMs) >= shunMs
                && (barred.get(m) == null || barred.get(m) == turn);
        return job.spec.isUrgent()
                ? open.chooseSoonest(job.spec, admits, m -> answerInMs(m, now))
                : open.choose(job.spec, admits);
    }

    /** Orders ride in the answers to reports: when the next can be given on this machine. */
    private long answerInMs(Machine machine, long now) {
        return machine.awaitsAnswer ? 0 : Math.max(1, machine.reportedAt + (long) (reportMs()) - now);
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
        turn.leased.add(machine, job, task);
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
                .filter(m -> barred.get(m) == null
                        && job.spec.demand().fitsIn(m.size)
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

    private Map<String, Integer> zonesOf(Job job, ResourceLeases.Leased leased) {
        Map<String, Integer> zones = cluster.zonesOf(job.spec.id());
        if (leased != null && leased.holds(job)) {
            // While a round runs, where its tasks will go is not settled: count the room as taken.
            leased.machines().forEach(machine -> zones.merge(machine.zone(), 1, Integer::sum));
        }
        return zones;
    }
}

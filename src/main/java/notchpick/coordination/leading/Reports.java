package notchpick.coordination.leading;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import notchpick.bookkeeping.ClusterState;
import notchpick.bookkeeping.Job;
import notchpick.bookkeeping.Machine;
import notchpick.bookkeeping.Machine.Life;
import notchpick.bookkeeping.TaskAssignment;
import notchpick.bookkeeping.TaskAssignment.Phase;
import notchpick.coordination.Deployment;
import notchpick.protocol.Json;
import notchpick.protocol.WorkerWire;
import notchpick.protocol.WorkerWire.Exit;
import notchpick.protocol.WorkerWire.Forget;
import notchpick.protocol.WorkerWire.Order;
import notchpick.protocol.WorkerWire.Report;
import notchpick.protocol.WorkerWire.Start;
import notchpick.protocol.WorkerWire.Stop;
import notchpick.protocol.WorkerWire.TaskReport;
import notchpick.scheduling.Estimates;
import notchpick.scheduling.FleetPlan.Pool;
import notchpick.transport.Caller.Answer;
import notchpick.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The leader's dealings with workers: takes their reports in, and answers them with orders. */
final class Reports {
    private static final Logger LOG = LoggerFactory.getLogger(Reports.class);
    /** A report's answer waits this long for what the report made possible, as a part of its period. */
    private static final double HOLD_RATIO = 0.1;
    /** So many jobs must have failed on a machine for it to be at fault. */
    private static final int JOBS_TO_BLAME = 2;
    /** A failure counts against its machine for so many report periods. */
    private static final int BLAME_REPORTS = 20;

    private final EventLoop loop;
    private final Deployment deployment;
    private final ClusterState cluster;
    private final Estimates estimates;
    private final Fleet fleet;
    private final OpenJobs jobs;
    private final TaskLaunchLog starts;
    private final long term;
    private final LeaderAuthority authority;
    private final LongSupplier rounds;
    private final Runnable news;
    private final BiConsumer<Long, Runnable> timer;
    private final Map<Machine, Held> held = new LinkedHashMap<>();
    private Answer nothing;

    /** A report whose answer is still to be given, and how many rounds had begun when it came. */
    private record Held(Consumer<Answer> reply, List<TaskReport> tasks, long rounds) {}

    /**
     * @param entitlement what may be told to workers now
     * @param rounds how many rounds of granting have begun
     * @param news hears when a report may have made room
     */
    Reports(
            EventLoop loop,
            Deployment deployment,
            ClusterState cluster,
            Estimates estimates,
            Fleet fleet,
            OpenJobs jobs,
            TaskLaunchLog starts,
            long term,
            LeaderAuthority authority,
            LongSupplier rounds,
            Runnable news,
            BiConsumer<Long, Runnable> timer) {
        this.loop = loop;
        this.deployment = deployment;
        this.cluster = cluster;
        this.estimates = estimates;
        this.fleet = fleet;
        this.jobs = jobs;
        this.starts = starts;
        this.term = term;
        this.authority = authority;
        this.rounds = rounds;
        this.news = news;
        this.timer = timer;
    }

    private static Answer refusal() {
        return new Answer(503, Json.bytes(Json.object()));
    }

    private static Answer orders(long term, List<Order> orders) {
        return new Answer(200, Json.bytes(WorkerWire.orders(term, orders)));
    }

    /** Most reports say nothing new: their answer is made once. */
    private Answer nothing() {
        if (nothing == null) {
            nothing = orders(term, List.of());
        }
        return nothing;
    }

    /** Takes a worker's report in and answers it, at once or when what it awaits has come. */
    void receive(Report report, Consumer<Answer> reply) {
        long now = loop.now();
        // A late report may be of a machine that is surely gone.
        if (!authority.mayKeep() || report.token() > term || fleet.wasReleased(report.machine())) {
            reply.accept(refusal());
            return;
        }
        Machine known = cluster.machines.get(report.machine());
        if (known != null
                && (report.session() < known.session
                        || report.session() == known.session && report.sequence() <= known.sequence)) {
            reply.accept(refusal());
            return;
        }
        if (report.token() < term && !hasHeardNobody(report, known)) {
            greet(known, report.tasks(), reply, now);
            return;
        }
        Machine machine = cluster.machines.computeIfAbsent(report.machine(), name -> {
            LOG.info("machine {} reports unasked", name);
            return new Machine(
                    name, new Pool(report.type(), report.zone(), report.spot()), fleet.size(report.type()), now);
        });
        // The worker has given an earlier report up.
        refuse(machine);
        if (machine.life == Life.BOOTING) {
            machine.life = Life.UP;
            machine.idleSince = now;
            LOG.info("machine {} is up after {} s", machine.name, (now - machine.knownSince) / 1000);
        }
        boolean changed = reconcile(machine, report, now);
        Held open = new Held(reply, report.tasks(), rounds.getAsLong());
        held.put(machine, open);
        machine.awaitsAnswer = true;
        if (changed) {
            news.run();
            timer.accept((long) (deployment.reportS() * 1000 * HOLD_RATIO), () -> {
                if (held.get(machine) == open) {
                    answer(machine);
                }
            });
        } else {
            answer(machine);
        }
    }

    /** A worker that has seen no token has executed no order, and none can be on its way to it but by a record. */
    private static boolean hasHeardNobody(Report report, Machine known) {
        return report.token() == 0 && (known == null || !known.hinted);
    }

    /**
     * A report made before its worker heard of this term tells nothing for sure: it may be a copy of an old one, or
     * have been held back, while an order of the former leader is still on its way. The answer gives the token; the
     * worker's next report counts. What must stop is told at once, lest leaders that change often never get to it.
     */
    private void greet(Machine machine, List<TaskReport> tasks, Consumer<Answer> reply, long now) {
        List<Order> orders = new ArrayList<>();
        for (TaskReport task : tasks) {
            if (task.phase() != WorkerWire.Phase.EXITED && !cluster.jobs.containsKey(task.job())) {
                if (!authority.holdsClaim()) {
                    reply.accept(refusal());
                    return;
                }
                orders.add(new Stop(task.name(), task.attempt(), 0));
            }
        }
        if (machine != null) {
            // The answer may prolong its lease.
            machine.reportedAt = now;
        }
        reply.accept(orders.isEmpty() ? nothing() : orders(term, orders));
    }

    /** Brings the machine's bindings in line with its report; true if something ended or is new. */
    private boolean reconcile(Machine machine, Report report, long now) {
        boolean changed = !machine.everReported;
        if (machine.everReported && report.session() > machine.session) {
            LOG.info("machine {} begins session {}", machine.name, report.session());
            // Its lease had run out: all that was there has been killed.
            for (TaskAssignment binding : List.copyOf(machine.bindings.values())) {
                if (binding.phase == Phase.SENT || binding.phase == Phase.SEEN) {
                    cluster.unbind(binding);
                }
            }
            changed = true;
        }
        machine.everReported = true;
        machine.session = report.session();
        machine.sequence = report.sequence();
        machine.reportedAt = now;
        machine.noticeS = report.noticeS();
        Set<TaskAssignment> there = new HashSet<>();
        for (TaskReport task : report.tasks()) {
            TaskAssignment binding = machine.bindings.get(task.name());
            if (task.phase() == WorkerWire.Phase.EXITED) {
                if (binding != null
                        && binding.attempt == task.attempt()
                        && binding.phase != Phase.PLANNED
                        && binding.phase != Phase.READY) {
                    exited(binding, task.exit(), now);
                    changed = true;
                }
                Job job = cluster.jobs.get(task.job());
                if (task.exit() == Exit.DONE && job != null && job.finish(task.task())) {
                    machine.failedJobs.clear();
                    jobs.finished(job, task.task());
                    changed = true;
                }
            } else {
                TaskAssignment seen = seen(machine, binding, task);
                if (seen != null) {
                    there.add(seen);
                    boolean running = task.phase() != WorkerWire.Phase.FETCHING;
                    if (running && !seen.running) {
                        seen.running = true;
                        seen.runningSince = now;
                        Job job = cluster.jobs.get(task.job());
                        if (job != null) {
                            job.running++;
                        }
                    }
                    seen.saving = task.phase() == WorkerWire.Phase.SAVING;
                }
            }
        }
        if (there.size() < machine.bindings.size()) {
            if (hasMissedOrder(machine, there)) {
                machine.missedAnswer(now, (long) reportMs());
            }
            changed |= dropAbsent(machine, there);
        }
        if (!machine.settled) {
            machine.settled = true;
            changed = true;
        }
        if (changed && machine.isIdle()) {
            machine.idleSince = now;
        }
        return changed;
    }

    /**
     * Whether an order to start a task was lost. A worker that carries one out names the task from then on, even if it
     * refuses it, until it is told to forget it.
     */
    private static boolean hasMissedOrder(Machine machine, Set<TaskAssignment> there) {
        return machine.bindings.values().stream()
                .anyMatch(binding -> binding.phase == Phase.SENT && !there.contains(binding));
    }

    /** What the report does not name is gone, as far as this can be sure. */
    private boolean dropAbsent(Machine machine, Set<TaskAssignment> there) {
        boolean dropped = false;
        for (TaskAssignment binding : List.copyOf(machine.bindings.values())) {
            boolean left = !there.contains(binding)
                    && switch (binding.phase) {
                        case PLANNED, READY -> false;
                        // Its order was executed before this report was made, or never will be; so with a former
                        // leader's, as the worker has seen this term and drops what may still come of it.
                        case SENT, SEEN, HINTED -> true;
                    };
            if (left) {
                cluster.unbind(binding);
                dropped = true;
            }
        }
        return dropped;
    }

    /** The binding that a reported live task stands for, made if need be; null if it must go. */
    private TaskAssignment seen(Machine machine, TaskAssignment binding, TaskReport task) {
        if (binding != null) {
            if (binding.attempt != task.attempt() && binding.phase != Phase.HINTED) {
                return null;
            }
            if (binding.phase == Phase.PLANNED || binding.phase == Phase.READY) {
                return null;
            }
            if (binding.phase == Phase.SENT) {
                machine.heardAnswer();
            }
            binding.attempt = task.attempt();
            binding.phase = Phase.SEEN;
            return binding;
        }
        Job job = cluster.jobs.get(task.job());
        if (job == null
                || task.task() >= job.spec.tasks()
                || job.done.get(task.task())
                || job.bound.containsKey(task.task())
                || job.leased.get(task.task())) {
            return null;
        }
        TaskAssignment found = cluster.bind(job.spec, task.task(), machine, task.attempt(), Phase.SEEN);
        starts.save(found);
        return found;
    }

    private void exited(TaskAssignment binding, Exit exit, long now) {
        Machine machine = binding.machine;
        cluster.unbind(binding);
        Job job = cluster.jobs.get(binding.spec.id());
        switch (exit) {
            case DONE -> {
                if (binding.running) {
                    estimates.observe(binding.spec, (now - binding.runningSince) / 1000.0);
                }
            }
            case STOPPED -> {}
            case ERROR -> failed(machine, job, binding, now);
            case FULL, IN_USE -> machine.quarantinedUntil = now + (long) (deployment.reportS() * 1000);
            case UNKNOWN -> {
                if (job != null) {
                    job.notBefore = now + (long) (deployment.reportS() * 1000);
                }
            }
        }
    }

    private void failed(Machine machine, Job job, TaskAssignment binding, long now) {
        LOG.info("task {} failed on {}", binding.taskName(), machine.name);
        machine.failedJobs.put(binding.spec.id(), now);
        if (job != null) {
            job.failed(machine.name, now, reportMs());
        }
        if (machine.blamedSince == 0 && isToBlame(machine, now)) {
            machine.blamedSince = now;
            machine.quarantinedUntil = Long.MAX_VALUE;
        }
    }

    private double reportMs() {
        return deployment.reportS() * 1000;
    }

    /**
     * Whether several jobs have lately failed on the machine and none has succeeded, those left aside that
     * fail everywhere or that their users have given up.
     */
    private boolean isToBlame(Machine machine, long now) {
        int jobs = 0;
        for (Map.Entry<String, Long> failed : machine.failedJobs.entrySet()) {
            Job job = cluster.jobs.get(failed.getKey());
            boolean counts = job != null && !job.isDoubted() && now - failed.getValue() < reportMs() * BLAME_REPORTS;
            jobs += counts ? 1 : 0;
        }
        return jobs >= JOBS_TO_BLAME;
    }

    /**
     * Lets machines go that fail what they start. Judged a report period after the failure: by then jobs with
     * a mistake, several of which may have failed on a sound machine first, have failed elsewhere too.
     */
    void judge(Machine machine, long now) {
        if (machine.blamedSince == 0) {
            return;
        }
        if (!isToBlame(machine, now)) {
            machine.blamedSince = 0;
            machine.quarantinedUntil = now;
        } else if (now - machine.blamedSince >= reportMs() && machine.life == Life.UP) {
            LOG.info("machine {} fails what it starts: it goes", machine.name);
            machine.life = Life.LEAVING;
        }
    }

    // ---- answers -------------------------------------------------------------------------------

    /** Its report won't be answered any more. */
    void refuse(Machine machine) {
        Held open = held.remove(machine);
        machine.awaitsAnswer = false;
        if (open != null) {
            open.reply().accept(refusal());
        }
    }

    void refuseAll() {
        List.copyOf(held.keySet()).forEach(this::refuse);
    }

    /** Answers every report that nothing more is awaited for. */
    void answerHeld() {
        List<Machine> due = new ArrayList<>();
        held.forEach((machine, open) -> {
            if (!awaits(machine, open)) {
                due.add(machine);
            }
        });
        due.forEach(this::answer);
    }

    private boolean awaits(Machine machine, Held open) {
        if (machine.isLeased() || open.rounds() == rounds.getAsLong()) {
            return true;
        }
        for (TaskAssignment binding : machine.bindings.values()) {
            if (binding.phase == Phase.PLANNED) {
                return true;
            }
        }
        for (TaskReport task : open.tasks()) {
            if (task.phase() == WorkerWire.Phase.EXITED && !mayForget(task)) {
                return true;
            }
        }
        return false;
    }

    /** A done task's worker may forget it only when the state service has it. */
    private boolean mayForget(TaskReport task) {
        Job job = cluster.jobs.get(task.job());
        return task.exit() != Exit.DONE
                || job == null
                || job.spec.isService()
                || task.task() >= job.spec.tasks()
                || job.durable.get(task.task());
    }

    /** Whether one of its tasks has been over for so long that its lease must not go on without an order to stop. */
    private boolean mustEnd(Machine machine, List<TaskReport> tasks) {
        for (TaskReport task : tasks) {
            TaskAssignment binding = machine.bindings.get(task.name());
            if (task.phase() != WorkerWire.Phase.EXITED
                    && !cluster.jobs.containsKey(task.job())
                    && (binding == null || !authority.mayKeepOver(binding.overSince))) {
                return true;
            }
        }
        return false;
    }

    /** Answers the machine's report now, if one waits, with all orders that are due. */
    void answer(Machine machine) {
        Held open = held.remove(machine);
        machine.awaitsAnswer = false;
        if (open == null) {
            return;
        }
        // Time may have passed since the report came.
        if (!authority.mayKeep() || !authority.holdsClaim() && mustEnd(machine, open.tasks())) {
            open.reply().accept(refusal());
            return;
        }
        List<Order> orders = new ArrayList<>();
        // A claim that has lapsed entitles to nothing but keeping the worker alive.
        if (authority.holdsClaim()) {
            for (TaskReport task : open.tasks()) {
                TaskAssignment binding = machine.bindings.get(task.name());
                if (task.phase() == WorkerWire.Phase.EXITED) {
                    if (mayForget(task)) {
                        orders.add(new Forget(task.name(), task.attempt()));
                    }
                } else if (binding == null
                        || binding.attempt != task.attempt()
                        // Cancelled while nobody led: its hint was read, its job was not open any more.
                        || !cluster.jobs.containsKey(task.job())) {
                    orders.add(new Stop(task.name(), task.attempt(), 0));
                } else if (binding.stopGraceS != null && !(binding.saving && binding.stopGraceS > 0)) {
                    orders.add(new Stop(task.name(), task.attempt(), binding.stopGraceS));
                }
            }
            if (authority.mayStart()) {
                for (TaskAssignment binding : machine.bindings.values()) {
                    if (binding.phase == Phase.READY) {
                        binding.phase = Phase.SENT;
                        orders.add(new Start(binding.taskName(), binding.attempt));
                    }
                }
            }
        }
        if (!orders.isEmpty()) {
            LOG.debug("{} orders for {}", orders.size(), machine.name);
        }
        open.reply().accept(orders.isEmpty() ? nothing() : orders(term, orders));
    }
}

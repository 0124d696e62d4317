package notchpick.coordination;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import notchpick.bookkeeping.Binding;
import notchpick.bookkeeping.Binding.Phase;
import notchpick.bookkeeping.Job;
import notchpick.bookkeeping.Ledger;
import notchpick.bookkeeping.Ledger.Prepared;
import notchpick.bookkeeping.Ledger.Write;
import notchpick.bookkeeping.Machine;
import notchpick.bookkeeping.Machine.Life;
import notchpick.bookkeeping.Records;
import notchpick.bookkeeping.Records.Fate;
import notchpick.bookkeeping.Records.Hint;
import notchpick.bookkeeping.Records.JobRecord;
import notchpick.bookkeeping.Records.MachineRecord;
import notchpick.bookkeeping.Roster;
import notchpick.protocol.CloudApi;
import notchpick.protocol.Json;
import notchpick.protocol.StateApi;
import notchpick.protocol.StateApi.Change;
import notchpick.protocol.StateApi.Changes;
import notchpick.protocol.StateApi.Entry;
import notchpick.protocol.StateApi.Listing;
import notchpick.protocol.StateApi.Missing;
import notchpick.protocol.StateApi.Ok;
import notchpick.protocol.WorkerWire;
import notchpick.protocol.WorkerWire.Exit;
import notchpick.protocol.WorkerWire.Forget;
import notchpick.protocol.WorkerWire.Order;
import notchpick.protocol.WorkerWire.Report;
import notchpick.protocol.WorkerWire.Start;
import notchpick.protocol.WorkerWire.Stop;
import notchpick.protocol.WorkerWire.TaskReport;
import notchpick.protocol.peer.Progress;
import notchpick.scheduling.Amounts;
import notchpick.scheduling.Consolidation;
import notchpick.scheduling.Consolidation.Candidate;
import notchpick.scheduling.Estimates;
import notchpick.scheduling.FleetPlan.Pool;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.MachineType;
import notchpick.transport.Actor;
import notchpick.transport.Caller.Answer;
import notchpick.transport.EventLoop;

/** Acts for all controllers during one term: the only one that gives workers orders. */
public final class Leader extends Actor<Leader.Message> {
    /** What the leader is told. */
    public sealed interface Message {}

    public record ClaimRenewed(long until) implements Message {}

    public record Depose() implements Message {}

    public record TypesKnown(List<MachineType> types) implements Message {}

    public record Reported(Report report, Consumer<Answer> reply) implements Message {}

    /** A report's answer waits this long for what the report made possible, as a part of its period. */
    private static final double HOLD_RATIO = 0.1;
    private static final long ROUND_DELAY_MS = 15;

    private final Deployment deployment;
    private final Tuning tuning;
    private final StateApi state;
    private final CloudApi cloud;
    private final Peers peers;
    private final Consumer<String> giveWay;
    private final long term;
    private final long graceMs;
    private final Roster roster = new Roster();
    private final Estimates estimates = new Estimates();
    private final Ledger ledger;
    private final Granting granting;
    private final Fleet fleet;
    private final Map<String, Held> held = new HashMap<>();
    /** What each machine last reported, until its answer has gone out. */
    private final Map<String, List<TaskReport>> lastTasks = new HashMap<>();
    private final long electedAt;
    private long claimUntil;
    private boolean begun;
    private boolean loaded;
    private long watchedAt;
    private long lastReportAt;
    private long bypassedSince;
    private boolean roundDue;

    /** A report whose answer is still to be given. */
    private record Held(Consumer<Answer> reply, long since) {}

    public Leader(EventLoop loop, Deployment deployment, Tuning tuning, StateApi state, CloudApi cloud, Peers peers,
            long leaderLeaseMs, long term, long version, long claimUntil, Consumer<String> giveWay) {
        super(loop);
        this.deployment = deployment;
        this.tuning = tuning;
        this.state = state;
        this.cloud = cloud;
        this.peers = peers;
        this.giveWay = giveWay;
        this.term = term;
        this.claimUntil = claimUntil;
        this.electedAt = loop.now();
        this.watchedAt = electedAt;
        this.lastReportAt = electedAt;
        this.bypassedSince = electedAt;
        this.graceMs = deployment.graceMs(leaderLeaseMs / 1000.0);
        this.ledger = new Ledger(state, loop, this::after, version, deployment.txnOps(),
                0.7 * deployment.stateWriteRps(), () -> giveWay.accept("its key is not there any more"));
        this.fleet = new Fleet(loop, deployment, roster, estimates, cloud, ledger, term, this::gone, this::after);
        this.granting = new Granting(loop, deployment, tuning, roster, estimates, peers, term,
                fleet::fetchGbPerS, this::placed, this::roundSoon, this::after);
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof ClaimRenewed renewed) {
            claimUntil = renewed.until();
        } else if (message instanceof TypesKnown known) {
            fleet.typesKnown(known.types());
            if (!begun) {
                begun = true;
                load();
            }
        } else if (message instanceof Reported reported) {
            report(reported.report(), reported.reply());
        } else if (message instanceof Depose) {
            held.values().forEach(h -> h.reply().accept(refusal()));
            stop();
        }
    }

    private boolean holdsClaim() {
        return loop.now() < claimUntil;
    }

    // ---- taking over -------------------------------------------------------------------------

    private <T> Consumer<StateApi.Result<T>> loading(Consumer<T> then, Runnable again) {
        return here(result -> {
            if (result instanceof Ok<T> ok) {
                then.accept(ok.value());
            } else {
                after(200, again);
            }
        });
    }

    /** Jobs first: a machine's record then tells of jobs that are open, or are over for good. */
    private void load() {
        state.listAll(Records.OPEN, loading(open -> {
            roster.jobs.clear();
            for (Entry entry : open.entries()) {
                opened(entry.key(), entry.value(), entry.version());
            }
            loadDone(open.revision());
        }, this::load));
    }

    private void loadDone(long revision) {
        state.listAll(Records.DONE_TASKS, loading(listing -> {
            for (Entry entry : listing.entries()) {
                ledger.known(entry.key(), entry.version());
                String[] parts = entry.key().split("/");
                Job job = roster.jobs.get(parts[1]);
                if (job == null) {
                    // Left behind by a job that was cancelled.
                    forgetChunks(parts[1], List.of(Integer.parseInt(parts[2])));
                    continue;
                }
                BitSet bits = Records.chunk(entry.value());
                int offset = Integer.parseInt(parts[2]) * Records.CHUNK;
                bits.stream().forEach(bit -> {
                    job.finish(offset + bit);
                    job.durable.set(offset + bit);
                });
            }
            loadCommitments(revision);
        }, () -> loadDone(revision)));
    }

    private void loadCommitments(long revision) {
        state.get(Records.COMMITMENTS, here(result -> {
            if (result instanceof Ok<Entry> ok) {
                ledger.known(Records.COMMITMENTS, ok.value().version());
                granting.commitments().putAll(Records.commitments(ok.value().value()));
            } else if (!(result instanceof Missing<Entry>)) {
                after(200, () -> loadCommitments(revision));
                return;
            }
            loadMachines(revision);
        }));
    }

    private void loadMachines(long revision) {
        state.listAll(Records.MACHINE, loading(listing -> {
            for (Entry entry : listing.entries()) {
                ledger.known(entry.key(), entry.version());
                recorded(entry.key().substring(Records.MACHINE.length()), Records.machine(entry.value()));
            }
            loaded = true;
            log.info("term {}: took over {} jobs and {} machines", term, roster.jobs.size(), roster.machines.size());
            watch(revision);
            begin();
        }, () -> loadMachines(revision)));
    }

    private void recorded(String name, MachineRecord record) {
        Machine machine = new Machine(name, record.pool(), fleet.size(record.pool().type()), electedAt);
        machine.recorded = true;
        machine.images.addAll(record.images());
        machine.life = record.released() ? Life.RELEASED : Life.UP;
        machine.releaseDurable = record.released();
        roster.machines.put(name, machine);
        for (Hint hint : record.hints()) {
            Job job = roster.jobs.get(hint.job().id());
            if (job != null && job.done.get(hint.task())) {
                continue;
            }
            roster.bind(job == null ? hint.job() : job.spec, hint.task(), machine, hint.attempt(), Phase.HINTED);
        }
    }

    private void begin() {
        long period = (long) (deployment.reportS() * 1000);
        fleet.list();
        every(period, fleet::list);
        every(period / 3, this::tick);
        every((long) (tuning.saveS() * 1000), this::saveCommitments);
        tick();
    }

    private void saveCommitments() {
        ledger.write(Records.COMMITMENTS, () -> new Prepared(
                List.of(Write.put(Records.COMMITMENTS, Records.commitments(granting.commitments()))),
                () -> { }, () -> { }));
    }

    // ---- jobs come and go --------------------------------------------------------------------

    private void watch(long since) {
        long waitMs = (long) (deployment.reportS() * 1000);
        state.changes(Records.OPEN, since, waitMs, here(result -> {
            if (result instanceof Ok<Changes> ok) {
                watchedAt = loop.now();
                for (Change change : ok.value().log()) {
                    if (change.value() != null) {
                        opened(change.key(), change.value(), change.version());
                    } else {
                        closed(change.key().substring(Records.OPEN.length()));
                    }
                }
                if (!ok.value().log().isEmpty()) {
                    roundSoon();
                }
                watch(Math.max(since, ok.value().revision()));
            } else if (result instanceof Missing<Changes>) {
                relist();
            } else {
                after(200, () -> watch(since));
            }
        }));
    }

    /** The watch is too far behind: read all open jobs again. */
    private void relist() {
        state.listAll(Records.OPEN, here(result -> {
            if (!(result instanceof Ok<Listing> ok)) {
                after(200, this::relist);
                return;
            }
            Set<String> open = new HashSet<>();
            for (Entry entry : ok.value().entries()) {
                open.add(entry.key().substring(Records.OPEN.length()));
                opened(entry.key(), entry.value(), entry.version());
            }
            List.copyOf(roster.jobs.keySet()).stream().filter(id -> !open.contains(id)).forEach(this::closed);
            watch(ok.value().revision());
        }));
    }

    private void opened(String key, com.fasterxml.jackson.databind.JsonNode value, long version) {
        String id = key.substring(Records.OPEN.length());
        roster.jobs.computeIfAbsent(id, i -> new Job(Records.spec(i, value), version));
    }

    /** The job is over, by its last task or by its user. */
    private void closed(String id) {
        Job job = roster.jobs.remove(id);
        if (job == null) {
            return;
        }
        if (!job.isDone()) {
            log.info("job {} was cancelled", id);
        }
        for (Machine machine : roster.machines.values()) {
            for (Binding binding : List.copyOf(machine.bindings.values())) {
                if (binding.spec.id().equals(id)) {
                    if (binding.phase == Phase.PLANNED || binding.phase == Phase.READY) {
                        roster.unbind(binding);
                    } else {
                        binding.stopGraceS = 0.0;
                    }
                }
            }
        }
        List<Integer> chunks = new ArrayList<>();
        job.durable.stream().map(task -> task / Records.CHUNK).distinct().forEach(chunks::add);
        if (!chunks.isEmpty() && !job.isDone()) {
            forgetChunks(id, chunks);
        }
    }

    private void forgetChunks(String job, List<Integer> chunks) {
        ledger.write("forget " + job, () -> new Prepared(
                chunks.stream().map(chunk -> Write.delete(Records.chunkKey(job, chunk))).toList(),
                () -> { }, () -> { }));
    }

    private void saveDone(Job job, int task) {
        if (job.isDone()) {
            ledger.write("end " + job.spec.id(), () -> roster.jobs.get(job.spec.id()) == job ? end(job) : null);
        } else {
            int chunk = task / Records.CHUNK;
            String key = Records.chunkKey(job.spec.id(), chunk);
            ledger.write(key, () -> roster.jobs.get(job.spec.id()) != job || job.isDone() ? null : saveChunk(job, chunk));
        }
    }

    private Prepared saveChunk(Job job, int chunk) {
        BitSet written = job.done.get(0, job.spec.tasks());
        String key = Records.chunkKey(job.spec.id(), chunk);
        return new Prepared(List.of(Write.put(key, Records.chunk(written, chunk))), () -> {
            for (int t = written.nextSetBit(chunk * Records.CHUNK); t >= 0 && t < (chunk + 1) * Records.CHUNK;
                    t = written.nextSetBit(t + 1)) {
                job.durable.set(t);
            }
            answerHeld();
        }, () -> { });
    }

    /** The last transition of a job; guarded on its record, so that it can't cross a cancellation. */
    private Prepared end(Job job) {
        String id = job.spec.id();
        List<Write> writes = new ArrayList<>();
        JobRecord record = new JobRecord(Fate.DONE, job.spec.tasks(), job.spec.tasks());
        writes.add(Write.put(Records.JOB + id, Records.job(record)).at(job.version));
        writes.add(Write.delete(Records.OPEN + id));
        job.durable.stream().map(task -> task / Records.CHUNK).distinct()
                .forEach(chunk -> writes.add(Write.delete(Records.chunkKey(id, chunk))));
        return new Prepared(writes, () -> {
            log.info("job {} is done", id);
            closed(id);
            answerHeld();
        }, () -> {
            // Cancelled meanwhile, or ended by a transaction whose answer was lost; the watch tells it too.
            closed(id);
            answerHeld();
        });
    }

    // ---- reports -----------------------------------------------------------------------------

    private Answer refusal() {
        return new Answer(503, Json.bytes(Json.object()));
    }

    private Answer orders(List<Order> orders) {
        return new Answer(200, Json.bytes(WorkerWire.orders(term, orders)));
    }

    private void report(Report report, Consumer<Answer> reply) {
        long now = loop.now();
        lastReportAt = now;
        if (now > claimUntil + graceMs || report.token() > term) {
            reply.accept(refusal());
            return;
        }
        if (!loaded) {
            // It keeps the worker's lease; what it reports is looked at next time.
            reply.accept(orders(List.of()));
            return;
        }
        if (fleet.wasReleased(report.machine())) {
            // A late report of a machine that is surely gone.
            reply.accept(refusal());
            return;
        }
        Machine machine = roster.machines.computeIfAbsent(report.machine(), name -> {
            log.info("machine {} reports unasked", name);
            return new Machine(name, new Pool(report.type(), report.zone(), report.spot()),
                    fleet.size(report.type()), now);
        });
        if (report.session() < machine.session
                || report.session() == machine.session && report.sequence() <= machine.sequence) {
            reply.accept(refusal());
            return;
        }
        Held superseded = held.remove(machine.name);
        if (superseded != null) {
            // The worker has given that report up.
            superseded.reply().accept(refusal());
        }
        if (machine.life == Life.BOOTING) {
            machine.life = Life.UP;
            machine.idleSince = now;
            log.info("machine {} is up after {} s", machine.name, (now - machine.knownSince) / 1000);
        }
        boolean news = reconcile(machine, report, now);
        lastTasks.put(machine.name, report.tasks());
        held.put(machine.name, new Held(reply, now));
        if (news) {
            roundSoon();
            after((long) (deployment.reportS() * 1000 * HOLD_RATIO), () -> answerIfSince(machine, now));
        } else {
            answer(machine);
        }
    }

    /** Brings the machine's bindings in line with its report; true if something ended or is new. */
    private boolean reconcile(Machine machine, Report report, long now) {
        boolean news = !machine.everReported;
        if (machine.everReported && report.session() > machine.session) {
            log.info("machine {} begins session {}", machine.name, report.session());
            // Its lease had run out: all that was there has been killed.
            for (Binding binding : List.copyOf(machine.bindings.values())) {
                if (binding.phase == Phase.SENT || binding.phase == Phase.SEEN) {
                    roster.unbind(binding);
                }
            }
            news = true;
        }
        machine.everReported = true;
        machine.session = report.session();
        machine.sequence = report.sequence();
        machine.reportedAt = now;
        machine.noticeS = report.noticeS();
        Set<String> mentioned = new HashSet<>();
        for (TaskReport task : report.tasks()) {
            String name = task.job() + "/" + task.task();
            Binding binding = machine.bindings.get(name);
            if (task.phase() == WorkerWire.Phase.EXITED) {
                if (binding != null && binding.attempt == task.attempt()
                        && binding.phase != Phase.PLANNED && binding.phase != Phase.READY) {
                    mentioned.add(name);
                    exited(binding, task.exit(), now);
                    news = true;
                }
                Job job = roster.jobs.get(task.job());
                if (task.exit() == Exit.DONE && job != null && job.finish(task.task())) {
                    machine.failedJobs.clear();
                    saveDone(job, task.task());
                    news = true;
                }
            } else {
                Binding seen = seen(machine, binding, task);
                if (seen != null) {
                    mentioned.add(name);
                    boolean running = task.phase() != WorkerWire.Phase.FETCHING;
                    if (running && !seen.running) {
                        seen.running = true;
                        seen.runningSince = now;
                        Job job = roster.jobs.get(task.job());
                        if (job != null) {
                            job.running++;
                        }
                    }
                    seen.saving = task.phase() == WorkerWire.Phase.SAVING;
                }
            }
        }
        for (Binding binding : List.copyOf(machine.bindings.values())) {
            if (mentioned.contains(binding.taskName())) {
                continue;
            }
            boolean left = switch (binding.phase) {
                case PLANNED, READY -> false;
                // Its order was executed before this report was made, or never will be.
                case SENT, SEEN -> true;
                // Only a worker that has seen this term drops what the former leader may still send.
                case HINTED -> report.token() >= term;
            };
            if (left) {
                roster.unbind(binding);
                news = true;
            }
        }
        if (!machine.settled && (report.token() >= term || !machine.recorded)) {
            machine.settled = true;
            news = true;
        }
        if (machine.isIdle()) {
            if (news) {
                machine.idleSince = now;
            }
        }
        return news;
    }

    /** The binding that a reported live task stands for, made if need be; null if it must go. */
    private Binding seen(Machine machine, Binding binding, TaskReport task) {
        if (binding != null) {
            if (binding.attempt != task.attempt() && binding.phase != Phase.HINTED) {
                return null;
            }
            if (binding.phase == Phase.PLANNED || binding.phase == Phase.READY) {
                return null;
            }
            binding.attempt = task.attempt();
            binding.phase = Phase.SEEN;
            return binding;
        }
        Job job = roster.jobs.get(task.job());
        if (job == null || task.task() >= job.spec.tasks() || job.done.get(task.task())
                || job.bound.containsKey(task.task()) || job.leased.get(task.task())) {
            return null;
        }
        return roster.bind(job.spec, task.task(), machine, task.attempt(), Phase.SEEN);
    }

    private void exited(Binding binding, Exit exit, long now) {
        Machine machine = binding.machine;
        roster.unbind(binding);
        Job job = roster.jobs.get(binding.spec.id());
        switch (exit) {
            case DONE -> {
                if (binding.running) {
                    estimates.observe(binding.spec, (now - binding.runningSince) / 1000.0);
                }
                if (job != null) {
                    job.failures = 0;
                }
            }
            case STOPPED -> { }
            case ERROR -> failed(machine, job, binding, now);
            case FULL, IN_USE -> machine.quarantinedUntil = now + (long) (deployment.reportS() * 1000);
            case UNKNOWN -> {
                if (job != null) {
                    job.notBefore = now + (long) (deployment.reportS() * 1000);
                }
            }
        }
    }

    /** A machine is blamed only for jobs that have not failed on several machines. */
    private void failed(Machine machine, Job job, Binding binding, long now) {
        log.info("task {} failed on {}", binding.taskName(), machine.name);
        machine.failedJobs.put(binding.spec.id(), now);
        if (job == null) {
            return;
        }
        job.failures++;
        long elsewhere = roster.machines.values().stream()
                .filter(other -> other != machine && other.failedJobs.containsKey(binding.spec.id())).count();
        if (elsewhere >= 2) {
            job.notBefore = now + (long) (deployment.reportS() * 1000 * Math.min(20, job.failures));
        } else if (machine.failedJobs.size() >= 2 && machine.life == Life.UP) {
            log.info("machine {} fails what it starts: it goes", machine.name);
            machine.life = Life.LEAVING;
        }
    }

    /** Nothing is on the machine any more. */
    private void gone(Machine machine) {
        List.copyOf(machine.bindings.values()).forEach(roster::unbind);
        Held open = held.remove(machine.name);
        if (open != null) {
            open.reply().accept(refusal());
        }
        lastTasks.remove(machine.name);
        roundSoon();
    }

    // ---- orders ------------------------------------------------------------------------------

    private void placed(Binding binding) {
        saveMachine(binding.machine);
    }

    /** Orders go out only once the machine's record names all that may be there. */
    private void saveMachine(Machine machine) {
        String key = Records.MACHINE + machine.name;
        ledger.write(key, () -> {
            if (machine.life == Life.RELEASED || machine.bindings.isEmpty()) {
                return machine.life == Life.RELEASED && !machine.releaseDurable ? released(machine) : null;
            }
            List<Binding> written = List.copyOf(machine.bindings.values());
            return new Prepared(List.of(Write.put(key, Records.machine(machine))), () -> {
                machine.recorded = true;
                written.stream().filter(b -> b.phase == Phase.PLANNED).forEach(b -> b.phase = Phase.READY);
                answer(machine);
            }, () -> { });
        });
    }

    private Prepared released(Machine machine) {
        return new Prepared(List.of(Write.put(Records.MACHINE + machine.name, Records.machine(machine))),
                () -> machine.releaseDurable = true, () -> { });
    }

    private void answerIfSince(Machine machine, long since) {
        Held open = held.get(machine.name);
        if (open != null && open.since() == since) {
            answer(machine);
        }
    }

    /** Answers every report that nothing more is awaited for. */
    private void answerHeld() {
        for (String name : List.copyOf(held.keySet())) {
            Machine machine = roster.machines.get(name);
            if (machine != null && !awaits(machine)) {
                answer(machine);
            }
        }
    }

    private boolean awaits(Machine machine) {
        if (machine.leased.cores() > Amounts.SLACK || roundDue) {
            return true;
        }
        for (Binding binding : machine.bindings.values()) {
            if (binding.phase == Phase.PLANNED) {
                return true;
            }
        }
        for (TaskReport task : lastTasks.getOrDefault(machine.name, List.of())) {
            if (task.phase() == WorkerWire.Phase.EXITED && !mayForget(task)) {
                return true;
            }
        }
        return false;
    }

    /** A done task's worker may forget it only when the state service has it. */
    private boolean mayForget(TaskReport task) {
        Job job = roster.jobs.get(task.job());
        return task.exit() != Exit.DONE || job == null || job.spec.isService()
                || task.task() >= job.spec.tasks() || job.durable.get(task.task());
    }

    private void answer(Machine machine) {
        Held open = held.remove(machine.name);
        if (open == null) {
            return;
        }
        List<Order> orders = new ArrayList<>();
        // A claim that has lapsed entitles to nothing but keeping the worker alive.
        if (holdsClaim()) {
            for (TaskReport task : lastTasks.getOrDefault(machine.name, List.of())) {
                Binding binding = machine.bindings.get(task.job() + "/" + task.task());
                if (task.phase() == WorkerWire.Phase.EXITED) {
                    if (mayForget(task)) {
                        orders.add(new Forget(task.job(), task.task(), task.attempt()));
                    }
                } else if (binding == null || binding.attempt != task.attempt()
                        // Cancelled while nobody led: its hint was read, its job was not open any more.
                        || !roster.jobs.containsKey(task.job())) {
                    orders.add(new Stop(task.job(), task.task(), task.attempt(), 0));
                } else if (binding.stopGraceS != null && !(binding.saving && binding.stopGraceS > 0)) {
                    orders.add(new Stop(task.job(), task.task(), task.attempt(), binding.stopGraceS));
                }
            }
            for (Binding binding : machine.bindings.values()) {
                if (binding.phase == Phase.READY) {
                    binding.phase = Phase.SENT;
                    orders.add(new Start(binding.spec.id(), binding.task, binding.attempt));
                }
            }
        }
        open.reply().accept(orders(orders));
    }

    // ---- from time to time -------------------------------------------------------------------

    private void roundSoon() {
        if (!roundDue && loaded) {
            roundDue = true;
            after(ROUND_DELAY_MS, () -> {
                roundDue = false;
                if (holdsClaim()) {
                    granting.round();
                }
                answerHeld();
            });
        }
    }

    private void tick() {
        long now = loop.now();
        long leaseMs = (long) (deployment.workerLeaseS() * 1000);
        for (Machine machine : List.copyOf(roster.machines.values())) {
            // Until it has settled, a former leader may have answered it during its grace.
            long since = machine.reportedAt + (machine.settled ? 0 : graceMs);
            if (machine.life != Life.BOOTING && now - since > Deployment.surelyOverMs(leaseMs)) {
                for (Binding binding : List.copyOf(machine.bindings.values())) {
                    log.info("task {} is lost with {}", binding.taskName(), machine.name);
                    roster.unbind(binding);
                }
                machine.settled = false;
            }
            if (machine.noticeS != null) {
                saveWork(machine);
            }
        }
        if (now - watchedAt > deployment.cancelS() * 250) {
            giveWay.accept("cancellations can't be read");
        }
        // One worker that has just come up, and asks its way to the leader, is no sign of a cut.
        if (now - lastReportAt < deployment.workerLeaseS() * 300 || peers.redirects() == 0) {
            bypassedSince = now;
        } else if (now - bypassedSince > deployment.workerLeaseS() * 300) {
            giveWay.accept("workers don't reach it, but do reach others");
        }
        if (holdsClaim()) {
            fleet.review();
            consolidate(now);
            roundSoon();
        }
    }

    /** When nothing waits, half-empty machines whose tasks can save their progress are emptied. */
    private void consolidate(long now) {
        if (granting.outstanding() > 0 || roster.jobs.values().stream().anyMatch(Job::waits)) {
            return;
        }
        List<Candidate<Machine>> candidates = new ArrayList<>();
        for (Machine machine : roster.machines.values()) {
            if (machine.life == Life.LEAVING && !machine.bindings.isEmpty()) {
                // One at a time.
                return;
            }
            if (granting.usable(machine, now)) {
                candidates.add(new Candidate<>(machine, movable(machine, now)));
            }
        }
        Machine leaving = Consolidation.find(candidates);
        if (leaving != null) {
            log.info("machine {} is emptied", leaving.name);
            leaving.life = Life.LEAVING;
            leaving.bindings.values().forEach(binding -> binding.stopGraceS = Math.ceil(binding.spec.saveS()));
        }
    }

    /** The machine's tasks, or null if they can't be moved now, or it would not pay. */
    private List<JobSpec> movable(Machine machine, long now) {
        List<JobSpec> tasks = new ArrayList<>();
        for (Binding binding : machine.bindings.values()) {
            double ranS = (now - binding.runningSince) / 1000.0;
            double restS = estimates.runS(binding.spec) - ranS;
            boolean worthIt = restS > 10 * binding.spec.saveS() || restS < 0;
            if (!binding.mayBeMoved(now) || !worthIt || binding.spec.oneZone() || binding.spec.spread()) {
                return null;
            }
            tasks.add(binding.spec);
        }
        return tasks;
    }

    /** Before the cloud takes a machine, tasks that can save their progress are told to. */
    private void saveWork(Machine machine) {
        for (Binding binding : machine.bindings.values()) {
            if (binding.spec.checkpointS() > 0 && binding.running && binding.stopGraceS == null
                    && machine.noticeS < binding.spec.saveS() + 2 * deployment.reportS()) {
                binding.stopGraceS = Math.ceil(binding.spec.saveS());
            }
        }
    }

    /** Counts of the open jobs, for display. */
    public List<Progress> progress() {
        List<Progress> progress = new ArrayList<>();
        if (loaded) {
            for (Job job : roster.jobs.values()) {
                if (job.running > 0 || !job.done.isEmpty()) {
                    progress.add(new Progress(job.spec.id(), job.done.cardinality(), job.running));
                }
            }
        }
        return progress;
    }
}

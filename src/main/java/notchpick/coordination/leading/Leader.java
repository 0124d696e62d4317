package notchpick.coordination.leading;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import notchpick.bookkeeping.ClusterState;
import notchpick.bookkeeping.FencedWriter;
import notchpick.bookkeeping.FencedWriter.Prepared;
import notchpick.bookkeeping.FencedWriter.Write;
import notchpick.bookkeeping.Job;
import notchpick.bookkeeping.Machine;
import notchpick.bookkeeping.Machine.Life;
import notchpick.bookkeeping.Records;
import notchpick.bookkeeping.TaskAssignment;
import notchpick.coordination.Deployment;
import notchpick.coordination.Tuning;
import notchpick.coordination.membership.ElectionPriority;
import notchpick.coordination.membership.Links;
import notchpick.coordination.membership.Peers;
import notchpick.protocol.CloudApi;
import notchpick.protocol.StateApi;
import notchpick.protocol.WorkerWire.Report;
import notchpick.protocol.peer.Progress;
import notchpick.scheduling.Consolidation;
import notchpick.scheduling.Consolidation.Candidate;
import notchpick.scheduling.Estimates;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.MachineType;
import notchpick.transport.Actor;
import notchpick.transport.Caller.Answer;
import notchpick.transport.EventLoop;

/** Acts for all controllers during one term: the only one that gives workers orders. */
public final class Leader extends Actor<Leader.Message> {
    /** What the leader is told. */
    public sealed interface Message {}

    /** The leader's lease has been renewed. */
    public record ClaimRenewed(long until) implements Message {}

    /** The term is over. */
    public record Depose() implements Message {}

    /** The machine types, without which nothing can be sized. */
    public record TypesKnown(List<MachineType> types) implements Message {}

    /** @param passed whether it has come by another controller */
    public record Reported(Report report, Consumer<Answer> reply, boolean passed) implements Message {}

    /** What arrives within this part of a report period is granted in one round. */
    private static final double ROUND_RATIO = 0.01;
    /** Rounds take no more than one part in so many of the time, however long one takes. */
    private static final int ROUND_SHARE = 10;
    /** A tick that comes later than so many of its periods shows that the process stood still. */
    private static final int LATE_TICKS = 2;
    /** Cancellations are known anew as often as the claim is renewed, lest their age be what shortens the grace. */
    private static final int WATCHES_PER_LEASE = 5;

    private final Deployment deployment;
    private final Tuning tuning;
    private final StateApi state;
    private final CloudApi cloud;
    private final Peers peers;
    private final Links links;
    private final LongSupplier detourMs;
    private final Consumer<String> giveWay;
    private final long term;
    private final long graceMs;
    private final LeaderAuthority authority;
    private final ClusterState cluster = new ClusterState(this::released);
    private final Estimates estimates = new Estimates();
    private final FencedWriter writer;
    private final ResourceLeases leases;
    private final ResourceAllocator allocator;
    private final Fleet fleet;
    private final OpenJobs jobs;
    private final TaskLaunchLog starts;
    private final Reports reports;
    private final LeaderRecovery recovery;
    private long tickedAt;
    /** When this controller last stood still, the end of that. */
    private long awakeSince;

    private boolean begun;
    private long lastReportAt;
    /** Since when reports have come by others only; 0: some worker gets its answers from here. */
    private long passedSince;

    private long bypassedSince;
    private boolean roundDue;
    private long rounds;
    private long roundTookMs;

    /** @param detourMs how long the state service has been reached through another controller */
    public Leader(
            EventLoop loop,
            Deployment deployment,
            Tuning tuning,
            StateApi state,
            CloudApi cloud,
            Peers peers,
            Links links,
            LongSupplier detourMs,
            long leaderLeaseMs,
            long term,
            long version,
            long claimUntil,
            Consumer<String> giveWay) {
        super(loop);
        this.deployment = deployment;
        this.tuning = tuning;
        this.state = state;
        this.cloud = cloud;
        this.peers = peers;
        this.links = links;
        this.detourMs = detourMs;
        this.giveWay = giveWay;
        this.term = term;
        this.authority = new LeaderAuthority(loop::now, deployment, leaderLeaseMs / 1000.0, claimUntil);
        this.lastReportAt = loop.now();
        this.bypassedSince = loop.now();
        this.awakeSince = loop.now();
        this.graceMs = deployment.graceMs(leaderLeaseMs / 1000.0);
        this.writer = new FencedWriter(
                state,
                loop,
                this::after,
                version,
                deployment.writesAtOnce(),
                0.7 * deployment.stateWriteRps(),
                () -> giveWay.accept("its key is not there any more"));
        this.fleet = new Fleet(
                loop, deployment, cluster, estimates, cloud, writer, term, this::gone, this::reviewFleet, this::after);
        this.leases = new ResourceLeases(
                loop, deployment, tuning, cluster, peers, term, this::placed, this::roundSoon, this::after);
        this.allocator =
                new ResourceAllocator(loop, deployment, tuning, cluster, estimates, leases, fleet::fetchGbPerS);
        this.jobs = new OpenJobs(
                loop,
                deployment,
                state,
                cluster,
                writer,
                authority,
                leaderLeaseMs / WATCHES_PER_LEASE,
                this::stageS,
                this::after,
                this::roundSoon,
                this::answerHeld);
        this.starts = new TaskLaunchLog(loop, deployment, cluster, writer, fleet, this::answer, jobs::over);
        this.reports = new Reports(
                loop,
                deployment,
                cluster,
                estimates,
                fleet,
                jobs,
                starts,
                term,
                authority,
                () -> rounds,
                this::roundSoon,
                this::after);
        this.recovery =
                new LeaderRecovery(loop, state, writer, this::after, jobs, starts, fleet, allocator, this::begin);
        every(unreadMs(), () -> {
            // In an outage nobody else could read it either.
            if (!authority.isLoaded() && authority.heldMs() > deployment.reportS() * 1000) {
                giveWay.accept("what a former leader left can't be read");
            }
        });
    }

    /** A leader that has read no cancellations for so long lets others try. */
    private long unreadMs() {
        return (long) (deployment.cancelS() * 250);
    }

    /** A job's run time, the wait for a report that an order can ride on, and its image. */
    private double stageS(JobSpec spec) {
        return estimates.runS(spec) + deployment.reportS() / 2 + fleet.fetchS(spec.imageGb());
    }

    private void released(TaskAssignment binding) {
        starts.over(binding);
    }

    private void answer(Machine machine) {
        reports.answer(machine);
    }

    private void answerHeld() {
        reports.answerHeld();
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof ClaimRenewed renewed) {
            authority.claimRenewed(renewed.until());
        } else if (message instanceof TypesKnown known) {
            fleet.typesKnown(known.types());
            if (!begun) {
                begun = true;
                recovery.begin();
            }
        } else if (message instanceof Reported reported) {
            noteWay(reported.report(), reported.passed());
            lastReportAt = loop.now();
            reports.receive(reported.report(), reported.reply());
        } else if (message instanceof Depose) {
            reports.refuseAll();
            stop();
        }
    }

    private void begin(long revision) {
        authority.loaded();
        log.info("term {}: took over {} jobs and {} machines", term, cluster.jobs.size(), cluster.machines.size());
        jobs.watch(revision);
        long period = (long) (deployment.reportS() * 1000);
        fleet.list();
        every(period, fleet::list);
        tickedAt = loop.now();
        every(tickMs(), this::tick);
        every((long) (tuning.saveS() * 1000), this::saveCommitments);
        tick();
    }

    private void saveCommitments() {
        writer.write(
                Records.COMMITMENTS,
                () -> new Prepared(
                        List.of(Write.put(
                                Records.COMMITMENTS,
                                Records.commitments(allocator.commitments(), deployment.valueBytes()))),
                        () -> {},
                        () -> {}));
    }

    /** Who reports here twice running got the first answer; others may report here in vain. */
    private void noteWay(Report report, boolean passed) {
        Machine machine = cluster.machines.get(report.machine());
        if (passed && passedSince == 0) {
            passedSince = loop.now();
        }
        if (machine != null) {
            if (!passed && machine.reportsHere && report.sequence() == machine.sequence + 1) {
                passedSince = 0;
                machine.heardAnswer();
                links.workerHeard(report.zone());
            }
            machine.reportsHere = !passed;
        }
    }

    private void placed(TaskAssignment binding) {
        starts.save(binding);
    }

    /** Nothing is on the machine any more. */
    private void gone(Machine machine) {
        cluster.unbindAll(machine);
        reports.refuse(machine);
        roundSoon();
    }

    // ---- from time to time -------------------------------------------------------------------

    private void roundSoon() {
        if (!roundDue && authority.isLoaded()) {
            roundDue = true;
            after(Math.max((long) (deployment.reportS() * 1000 * ROUND_RATIO), ROUND_SHARE * roundTookMs), () -> {
                roundDue = false;
                rounds++;
                if (authority.holdsClaim()) {
                    long begunAt = loop.now();
                    allocator.round();
                    roundTookMs = Math.min(loop.now() - begunAt, longestRoundMs());
                }
                reports.answerHeld();
            });
        }
    }

    /** A round in the middle of which this process stood still tells nothing. */
    private long longestRoundMs() {
        return (long) (deployment.reportS() * 1000 * ROUND_RATIO);
    }

    /** After this process stood still, what others sent meanwhile is yet to be read: their silence says nothing. */
    private void noteStandstill(long now) {
        if (now - tickedAt > tickMs() * LATE_TICKS) {
            log.info("stood still for {} s", (now - tickedAt) / 1000.0);
            awakeSince = now;
        }
    }

    private long tickMs() {
        return (long) (deployment.reportS() * 1000 / 3);
    }

    private void tick() {
        long now = loop.now();
        noteStandstill(now);
        tickedAt = now;
        long leaseMs = (long) (deployment.workerLeaseS() * 1000);
        for (Machine machine : List.copyOf(cluster.machines.values())) {
            // Until it has settled, a former leader may have answered it during its grace.
            long since = machine.reportedAt + (machine.settled ? 0 : graceMs);
            if (machine.life != Life.BOOTING && now - since > Deployment.surelyOverMs(leaseMs)) {
                machine.bindings
                        .values()
                        .forEach(binding -> log.info("task {} is lost with {}", binding.taskName(), machine.name));
                cluster.unbindAll(machine);
                machine.settled = false;
            }
            if (machine.noticeS != null) {
                saveWork(machine);
            }
            reports.judge(machine, now);
        }
        if (now - Math.max(authority.knownAt(), awakeSince) > unreadMs() && !isExcused()) {
            giveWay.accept("cancellations can't be read");
        }
        // One worker that has just come up, and asks its way to the leader, is no sign of a cut.
        if (now - Math.max(lastReportAt, awakeSince) < deployment.workerLeaseS() * 300 || !othersMayDoBetter()) {
            bypassedSince = now;
        } else if (now - bypassedSince > deployment.workerLeaseS() * 300) {
            giveWay.accept("workers don't reach it, but do reach others");
        }
        double leaningMs = ElectionPriority.LEANING_LEASES * deployment.workerLeaseS() * 1000;
        if (passedSince != 0 && now - Math.max(passedSince, awakeSince) > leaningMs) {
            giveWay.accept("workers reach it only through others");
        } else if (detourMs.getAsLong() > leaningMs) {
            giveWay.accept("it reaches the state service only through others");
        }
        if (authority.holdsClaim()) {
            starts.tidy();
            jobs.tidy();
            reviewFleet();
            consolidate(now);
            roundSoon();
        }
    }

    /**
     * Whether others are known to see workers, or nothing is known of any other while workers should report: then it
     * is more likely that this controller is cut off than that all of them are gone.
     */
    private boolean othersMayDoBetter() {
        return peers.redirects() > 0
                || !deployment.peers().isEmpty()
                        && peers.live().isEmpty()
                        && cluster.machines.values().stream().anyMatch(machine -> machine.life == Life.UP);
    }

    /**
     * In an outage nobody can read cancellations, nor be elected: to give way would only end the grace in which
     * reports are answered. When it is over, they come within a report's time, or another one shall read them.
     */
    private boolean isExcused() {
        long heldMs = authority.heldMs();
        return heldMs < 0 ? authority.isInGrace() : heldMs < deployment.reportS() * 1000;
    }

    private void reviewFleet() {
        if (authority.holdsClaim()) {
            noteStandstill(loop.now());
            fleet.review(awakeSince);
        }
    }

    /** When nothing waits, half-empty machines whose tasks can save their progress are emptied. */
    private void consolidate(long now) {
        if (leases.outstanding() > 0
                || fleet.bootsAreLate()
                || cluster.jobs.values().stream().anyMatch(job -> job.waits() && !job.isDoubted())) {
            return;
        }
        List<Candidate<Machine>> candidates = new ArrayList<>();
        List<JobSpec> moving = new ArrayList<>();
        int leaving = 0;
        double free = 0;
        for (Machine machine : cluster.machines.values()) {
            if (machine.life == Life.LEAVING && !machine.bindings.isEmpty()) {
                leaving++;
                machine.bindings.values().forEach(binding -> moving.add(binding.spec));
            } else if (machine.isUsable(now, deployment.reportS() * 1000)) {
                free += machine.room().cores();
                candidates.add(new Candidate<>(machine, movable(machine, now)));
            }
        }
        int most = Consolidation.most(
                candidates.size(), 1 - free / Math.max(1, cluster.total().cores()));
        for (Machine machine : Consolidation.find(candidates, moving, most - leaving)) {
            log.info("machine {} is emptied", machine.name);
            machine.life = Life.LEAVING;
            machine.bindings.values().forEach(binding -> binding.stopGraceS = Math.ceil(binding.spec.saveS()));
        }
    }

    /** The machine's tasks, or null if they can't be moved now, or it would not pay. */
    private List<JobSpec> movable(Machine machine, long now) {
        List<JobSpec> tasks = new ArrayList<>();
        for (TaskAssignment binding : machine.bindings.values()) {
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
        for (TaskAssignment binding : machine.bindings.values()) {
            if (binding.spec.checkpointS() > 0
                    && binding.running
                    && binding.stopGraceS == null
                    && machine.noticeS < binding.spec.saveS() + 2 * deployment.reportS()) {
                binding.stopGraceS = Math.ceil(binding.spec.saveS());
            }
        }
    }

    /** Counts of the open jobs, for display. */
    public List<Progress> progress() {
        List<Progress> progress = new ArrayList<>();
        if (authority.isLoaded()) {
            for (Job job : cluster.jobs.values()) {
                if (job.running > 0 || !job.done.isEmpty()) {
                    progress.add(progress(job));
                }
            }
        }
        return progress;
    }

    /** The counts of one job, or null. */
    public Progress progress(String id) {
        Job job = authority.isLoaded() ? cluster.jobs.get(id) : null;
        return job == null ? null : progress(job);
    }

    private static Progress progress(Job job) {
        return new Progress(job.spec.id(), job.done.cardinality(), job.running);
    }
}

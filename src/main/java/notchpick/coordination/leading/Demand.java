package notchpick.coordination.leading;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import notchpick.bookkeeping.ClusterState;
import notchpick.bookkeeping.Job;
import notchpick.bookkeeping.Machine;
import notchpick.bookkeeping.Machine.Life;
import notchpick.coordination.Deployment;
import notchpick.scheduling.Amounts;
import notchpick.scheduling.Estimates;
import notchpick.scheduling.FleetPlan.Need;
import notchpick.scheduling.FleetPlan.Pool;
import notchpick.scheduling.JobOrder;
import notchpick.scheduling.JobOrder.Waiting;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.MachineType;
import notchpick.transport.EventLoop;

/** What the open jobs could use, and which of them can't do with cheap machines alone. */
final class Demand {
    private final EventLoop loop;
    private final Deployment deployment;
    private final ClusterState cluster;
    private final Estimates estimates;
    private final Map<String, MachineType> types;
    private final Predicate<Pool> refused;

    /**
     * @param types as they become known
     * @param refused pools that the cloud has lately refused
     */
    Demand(
            EventLoop loop,
            Deployment deployment,
            ClusterState cluster,
            Estimates estimates,
            Map<String, MachineType> types,
            Predicate<Pool> refused) {
        this.loop = loop;
        this.deployment = deployment;
        this.cluster = cluster;
        this.estimates = estimates;
        this.types = types;
        this.refused = refused;
    }

    /** In the order in which jobs are served. */
    List<Need> needs() {
        List<Waiting<Job>> order = new ArrayList<>();
        for (Job job : cluster.jobs.values()) {
            if (job.held) {
                continue;
            }
            double runS = estimates.runS(job.spec);
            order.add(new Waiting<>(
                    job, job.spec, job.wanted() * runS * job.spec.demand().cores(), runS));
        }
        Map<String, Amounts> byTeam = new HashMap<>();
        double cores = 0;
        for (Machine machine : cluster.machines.values()) {
            cores += machine.life == Life.BOOTING || machine.life == Life.UP ? machine.size.cores() : 0;
        }
        double aheadS = 0;
        List<Need> needs = new ArrayList<>();
        for (Waiting<Job> waiting : JobOrder.sorted(order, loop.wallTime(), deployment.objectives(), cores)) {
            JobSpec spec = waiting.spec();
            Job job = waiting.job();
            aheadS += waiting.remainingS();
            int tasks = job.wanted();
            Deployment.Limit limit = deployment.limit(spec.team());
            Amounts before = byTeam.getOrDefault(spec.team(), Amounts.NONE);
            if (limit != null && limit.most().cores() > 0 && spec.demand().cores() > 0) {
                // What the team may not run at once needs no machines.
                double room = limit.most().cores() - before.cores();
                tasks = Math.min(tasks, (int) Math.max(0, room / spec.demand().cores()));
            }
            if (tasks > 0) {
                Amounts after = byTeam.merge(spec.team(), spec.demand().times(tasks), Amounts::plus);
                boolean atOnce = limit != null && limit.guarantees(after);
                job.pressed = atOnce || isPressed(waiting, cores > 0 ? aheadS / cores : Double.MAX_VALUE);
                job.stranded |= isStranded(spec);
                needs.add(new Need(spec, tasks, waiting.runS(), job.mayUseOrdinary(), atOnce));
            }
        }
        return needs;
    }

    /** Whether what there is would finish an urgent job too late, while more machines still could help. */
    private boolean isPressed(Waiting<Job> waiting, double queueS) {
        JobSpec spec = waiting.spec();
        if (!spec.isUrgent()) {
            return false;
        }
        double ageS = spec.ageS(loop.wallTime());
        double bootS =
                types.values().stream().mapToDouble(MachineType::bootS).min().orElse(0);
        // What a machine rented now could still bring in time.
        double slackS = deployment.objectives().slackS(spec, ageS + bootS, waiting.runS());
        return slackS >= 0 && queueS > slackS + bootS;
    }

    /** Whether no machine it may use is rented cheaply, nor can be: it would wait for ever. */
    private boolean isStranded(JobSpec spec) {
        for (Machine machine : cluster.machines.values()) {
            if (machine.spot()
                    && machine.life != Life.RELEASED
                    && spec.demand().fitsIn(machine.size)
                    && spec.allows(machine.type(), machine.zone(), true)) {
                return false;
            }
        }
        for (MachineType type : types.values()) {
            for (String zone : type.zones()) {
                if (spec.allows(type.name(), zone, true)
                        && spec.demand().fitsIn(type.size())
                        && !refused.test(new Pool(type.name(), zone, true))) {
                    return false;
                }
            }
        }
        return true;
    }
}
